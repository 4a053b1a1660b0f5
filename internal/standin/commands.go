package standin

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rattanscale/rattanscale/internal/storage"
)

func engineCommand() *command {
	s := DefaultEngineSettings()
	var models string
	return &command{
		name: "engine", synopsis: "emulates a model engine",
		setFlags: func(f *flag.FlagSet) {
			f.StringVar(&models, "models", "", "models loaded at start, separated by commas; empty accepts every model")
			addEngineTimeFlags(f, &s)
			f.Float64Var(&s.ColdFactor, "cold-factor", s.ColdFactor, "multiplies the step time in the cold state; 0: as when warm")
			f.IntVar(&s.MemoryTokens, "memory-tokens", s.MemoryTokens, "memory for prompts and outputs, in tokens")
			f.IntVar(&s.ColdRequests, "cold-requests", s.ColdRequests, "requests that the cold engine can bear; 0: never cold")
			f.IntVar(&s.WarmAfter, "warm-after", s.WarmAfter, "completed requests that end the cold state")
			f.Uint64Var(&s.CacheGap, "cache-gap", s.CacheGap, "every n-th cache event is missing; 0: none")
			f.IntVar(&s.CachePrefixes, "cache-prefixes", s.CachePrefixes, "number of cached prompt prefixes")
			f.BoolVar(&s.IgnoreFencing, "ignore-fencing", false, "carries out orders with an old fencing token")
			f.StringVar(&s.OrderKey, "order-key", "", "bearer key that orders must carry; empty: none")
		},
		newHandler: func() (http.Handler, func(), error) {
			if models != "" {
				s.Models = strings.Split(models, ",")
			}
			e := NewEngine(s)
			return e.Handler(), e.Close, nil
		},
	}
}

func addEngineTimeFlags(f *flag.FlagSet, s *EngineSettings) {
	f.DurationVar(&s.BaseStep, "base-step", s.BaseStep, "time of a step without load")
	f.DurationVar(&s.StepPerRequest, "step-per-request", s.StepPerRequest, "added to a step for each running request")
	f.DurationVar(&s.StepPerKiloToken, "step-per-kilotoken", s.StepPerKiloToken, "added for 1000 tokens in memory")
	f.DurationVar(&s.PrefillPerKiloToken, "prefill-per-kilotoken", s.PrefillPerKiloToken,
		"added to a step for 1000 prompt tokens admitted")
	f.DurationVar(&s.ResumeWindow, "resume-window", s.ResumeWindow, "how long a generation without a reader is kept")
	f.DurationVar(&s.ReportLag, "report-lag", s.ReportLag, "age of the state in load reports")
	f.DurationVar(&s.CacheLag, "cache-lag", s.CacheLag, "delay of cache events")
	f.DurationVar(&s.LoadTime, "load-time", s.LoadTime, "how long loading a model takes")
}

func stopNothing() {}

func plainCommand() *command {
	var duration time.Duration
	return &command{
		name: "plain", synopsis: "emulates a plain service",
		setFlags:   func(f *flag.FlagSet) { f.DurationVar(&duration, "duration", 0, "time of one call") },
		newHandler: func() (http.Handler, func(), error) { return NewPlain(duration).Handler(), stopNothing, nil },
	}
}

func tableCommand() *command {
	var s TableSettings
	return &command{
		name: "table", synopsis: "emulates the table service (DynamoDB JSON protocol)",
		setFlags: func(f *flag.FlagSet) {
			f.DurationVar(&s.Delay, "delay", 0, "time of one request")
			f.Float64Var(&s.WritesPerSecond, "writes-per-second", 0, "written items a second; 0: unlimited")
			f.Float64Var(&s.ReadsPerSecond, "reads-per-second", 0, "reads a second; 0: unlimited")
			f.IntVar(&s.PageItems, "page-items", 0, "items in one page of a query; 0: as many as asked for")
		},
		newHandler: func() (http.Handler, func(), error) { return NewTable(s).Handler(), stopNothing, nil },
	}
}

func objectsCommand() *command {
	return &command{
		name: "objects", synopsis: "emulates the object store (S3 protocol, path style)",
		newHandler: func() (http.Handler, func(), error) { return NewObjects().Handler(), stopNothing, nil },
	}
}

func hostListCommand() *command {
	var lag time.Duration
	var hosts string
	return &command{
		name: "hostlist", synopsis: "emulates the host list",
		setFlags: func(f *flag.FlagSet) {
			f.DurationVar(&lag, "lag", 0, "delay until a change is visible")
			f.StringVar(&hosts, "hosts", "[]", "initial list, as the JSON of GET /hosts")
		},
		newHandler: func() (http.Handler, func(), error) {
			var initial []storage.ListedHost
			if err := json.Unmarshal([]byte(hosts), &initial); err != nil {
				return nil, nil, fmt.Errorf("-hosts: %w; remedy: give a JSON array of {name, address, leaving}", err)
			}
			return NewHostList(lag, initial).Handler(), stopNothing, nil
		},
	}
}
