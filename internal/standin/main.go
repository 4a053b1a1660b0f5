// Package standin implements stand-ins for the platform and upstreams, for
// tests and the demo: a model engine, a plain service, the table service, the
// object store and the host list. Each has a constructor and an http.Handler
// for use within a test, and a subcommand of rattanstandin.
//
// POST /fault with a Fault makes a stand-in inject this fault, and GET /stats
// returns its counters.
package standin

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
)

const (
	headerTimeout   = 5 * time.Second
	shutdownTimeout = 200 * time.Millisecond
)

// Main runs the program with the given arguments until SIGINT or SIGTERM and
// returns its exit status. The first line on stdout is "listening addr=IP:port".
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return run(ctx, args, stdout, stderr)
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("rattanstandin", flag.ContinueOnError)
	flags.SetOutput(stderr)
	commander := subcommands.NewCommander(flags, "rattanstandin")
	commander.Output, commander.Error = stdout, stderr
	commander.Register(commander.HelpCommand(), "")
	for _, c := range []*command{engineCommand(), plainCommand(), tableCommand(), objectsCommand(), hostListCommand()} {
		c.stdout, c.stderr = stdout, stderr
		commander.Register(c, "")
	}
	if err := flags.Parse(args); err != nil {
		return int(subcommands.ExitUsageError)
	}
	return int(commander.Execute(ctx))
}

// command is one subcommand, which serves one stand-in.
type command struct {
	name     string
	synopsis string
	listen   string
	setFlags func(*flag.FlagSet)
	// newHandler returns the handler of the stand-in and a function that stops it.
	newHandler     func() (http.Handler, func(), error)
	stdout, stderr io.Writer
}

var _ subcommands.Command = (*command)(nil)

func (c *command) Name() string     { return c.name }
func (c *command) Synopsis() string { return c.synopsis }

func (c *command) Usage() string {
	return fmt.Sprintf("%s [flags]\n  %s.\n", c.name, c.synopsis)
}

func (c *command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "address to serve, as IP:port; port 0 chooses a free one")
	if c.setFlags != nil {
		c.setFlags(f)
	}
}

// Execute serves the stand-in until the context ends.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		_, _ = fmt.Fprintf(c.stderr, "unexpected argument %q; remedy: give settings as flags\n", f.Arg(0))
		return subcommands.ExitUsageError
	}
	if err := c.serve(ctx); err != nil {
		_, _ = fmt.Fprintf(c.stderr, "%v\n", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *command) serve(ctx context.Context) error {
	handler, stop, err := c.newHandler()
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", c.listen)
	if err != nil {
		stop()
		return fmt.Errorf("%w; remedy: choose a free address with -listen", err)
	}
	_, _ = fmt.Fprintf(c.stdout, "listening addr=%s\n", listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err = <-serveErr:
	case <-ctx.Done():
	}
	stop()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(shutdownCtx) != nil {
		_ = server.Close() // ends requests that a fault still blocks
	}
	return err
}
