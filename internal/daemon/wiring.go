package daemon

import (
	"time"

	"github.com/go-logr/logr"
	"github.com/samber/do/v2"

	"github.com/rattanscale/rattanscale/internal/changelog"
	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/membudget"
	"github.com/rattanscale/rattanscale/internal/peer"
	"github.com/rattanscale/rattanscale/internal/servicetext"
	"github.com/rattanscale/rattanscale/internal/settings"
	"github.com/rattanscale/rattanscale/internal/storage"
	"github.com/rattanscale/rattanscale/internal/storage/dynamo"
	"github.com/rattanscale/rattanscale/internal/storage/hostlist"
	"github.com/rattanscale/rattanscale/internal/storage/memory"
	"github.com/rattanscale/rattanscale/internal/storage/s3"
	"github.com/rattanscale/rattanscale/internal/timeline"
	"github.com/rattanscale/rattanscale/internal/tlsconf"
	"github.com/rattanscale/rattanscale/internal/upstream"
	"github.com/rattanscale/rattanscale/internal/upstream/engine"
	"github.com/rattanscale/rattanscale/internal/upstream/plain"
)

// newInjector returns an injector for the components that others share. Each component is
// built on first use; none is started.
func newInjector(s *settings.Settings, log logr.Logger) do.Injector {
	i := do.New()
	do.ProvideValue(i, s)
	do.ProvideValue(i, log)
	do.ProvideValue(i, timeline.NewClock(time.Now))
	do.Provide(i, provideTable)
	do.Provide(i, provideObjects)
	do.Provide(i, provideHostList)
	do.Provide(i, provideTLS)
	do.Provide(i, provideRecorder)
	do.Provide(i, provideFollower)
	do.Provide(i, provideChangeLog)
	do.Provide(i, providePeerOptions)
	do.Provide(i, provideEngine)
	do.Provide(i, providePlain)
	return i
}

func provideTable(i do.Injector) (storage.Table, error) {
	p := do.MustInvoke[*settings.Settings](i).Platform
	if p.Table == "memory" {
		return memory.NewTable(), nil
	}
	return dynamo.New(dynamo.Settings{URL: p.TableURL, TableName: p.TableName, Region: p.Region, AccessKey: p.AccessKey, SecretKey: p.SecretKey}), nil
}

// objectStore holds the object store, or nil if none is configured, in which case large
// service texts are refused.
type objectStore struct{ store storage.ObjectStore }

func provideObjects(i do.Injector) (*objectStore, error) {
	p := do.MustInvoke[*settings.Settings](i).Platform
	switch {
	case p.Table == "memory":
		return &objectStore{memory.NewObjects()}, nil
	case p.ObjectsURL == "":
		return &objectStore{}, nil
	}
	return &objectStore{s3.New(s3.Settings{URL: p.ObjectsURL, Bucket: p.Bucket, Region: p.Region, AccessKey: p.AccessKey, SecretKey: p.SecretKey})}, nil
}

func provideHostList(i do.Injector) (storage.HostList, error) {
	p := do.MustInvoke[*settings.Settings](i).Platform
	if p.HostListURL == "" {
		return memory.NewHosts(), nil
	}
	return hostlist.New(p.HostListURL), nil
}

func provideTLS(i do.Injector) (*tlsconf.Source, error) {
	t := do.MustInvoke[*settings.Settings](i).TLS
	source, err := tlsconf.New(t.Cert, t.Key, t.CA)
	if err != nil {
		return nil, failure.New(failure.InvalidSettings, "tls: %v", err)
	}
	if source != nil {
		log := do.MustInvoke[logr.Logger](i)
		source.OnReloadError = func(err error) { log.Error(err, "reloading certificates failed; keeping the previous ones") }
	}
	return source, nil
}

func provideRecorder(i do.Injector) (*timeline.Recorder, error) {
	s := do.MustInvoke[*settings.Settings](i)
	return timeline.NewRecorder(s.Host.Name, do.MustInvoke[*timeline.Clock](i), s.Timeline.MaxEvents), nil
}

func provideFollower(do.Injector) (*changelog.Follower, error) {
	return changelog.NewFollower(func(text string) (*entity.ServiceText, error) {
		return servicetext.Parse("service text", []byte(text))
	}), nil
}

func provideChangeLog(i do.Injector) (*changelog.Log, error) {
	table, err := do.Invoke[storage.Table](i)
	if err != nil {
		return nil, err
	}
	return changelog.NewLog(table, do.MustInvoke[*objectStore](i).store, do.MustInvoke[*changelog.Follower](i)), nil
}

func providePeerOptions(i do.Injector) (peer.Options, error) {
	s := do.MustInvoke[*settings.Settings](i)
	source, err := do.Invoke[*tlsconf.Source](i)
	if err != nil {
		return peer.Options{}, err
	}
	return peer.Options{
		Address: s.Listen.Peer, Key: s.Keys.Peer, ServerTLS: source.Server(true), ClientTLS: source.Client(),
		Clock: do.MustInvoke[*timeline.Clock](i), Logger: do.MustInvoke[logr.Logger](i),
	}, nil
}

func provideEngine(i do.Injector) (upstream.Engine, error) {
	s := do.MustInvoke[*settings.Settings](i)
	return engine.New(engine.Settings{TokenTimeout: s.Limits.TokenTimeout, Credentials: s.UpstreamCredentials}), nil
}

func providePlain(i do.Injector) (upstream.Plain, error) {
	s := do.MustInvoke[*settings.Settings](i)
	limits := membudget.LimitsFor(s.Limits.MemoryMB, membudget.Descriptors())
	return plain.New(plain.Settings{ResponseBytes: limits.ResponseBytes}), nil
}
