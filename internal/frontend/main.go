package frontend

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rattanscale/rattanscale/internal/program"
)

// settingsPollInterval is the interval at which the settings file is checked for changes, since
// it may change without a signal.
const settingsPollInterval = 2 * time.Second

// Main runs the front end with the given arguments and returns its exit status.
func Main(args []string, p Platform, stdout, stderr io.Writer) int {
	return program.Program[*Settings]{
		Name: "rattanscaled frontend",
		Load: Load,
		Host: func(s *Settings) string { return s.Host.Name },
		Run: func(ctx context.Context, s *Settings, e program.Environment) error {
			f := New(s, p, e.Log)
			go f.watchSettings(ctx, e.SettingsFile, e.LogDropped)
			return f.Run(ctx)
		},
	}.Main(args, stdout, stderr)
}

// watchSettings reloads the settings on SIGHUP and after the file has changed, until ctx ends. It
// also reports the number of dropped log lines to the metrics.
func (f *FrontEnd) watchSettings(ctx context.Context, file string, droppedLogLines func() uint64) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModified := modificationTime(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-ticker.C:
			f.metrics.SetDroppedLogLines(droppedLogLines())
			modified := modificationTime(file)
			if modified.Equal(lastModified) {
				continue
			}
			lastModified = modified
		}
		f.reload(file)
	}
}

func modificationTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies the settings that can change while the process runs. An invalid file changes
// nothing.
func (f *FrontEnd) reload(file string) {
	s, err := Load(file)
	if err != nil {
		f.log.Error(err, "settings could not be reloaded; the previous ones stay in force")
		return
	}
	f.gateway.SetRetryBounds(s.Retry.Ratio, s.Retry.Slack, s.Retry.Window)
	f.setSeeds(s.Peers.Seeds)
	f.log.Info("settings reloaded", "file", file)
}
