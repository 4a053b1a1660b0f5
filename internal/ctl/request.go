package ctl

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"strings"

	"github.com/google/subcommands"

	"github.com/rattanscale/rattanscale/internal/callerclient"
)

// requestCommand sends one request through the caller API.
type requestCommand struct {
	client
	dataCentre     string
	maxTokens      int
	acceptRestart  bool
	quiet          bool
	idempotencyKey string
}

func (*requestCommand) Name() string     { return "request" }
func (*requestCommand) Synopsis() string { return "send one request as a caller" }
func (*requestCommand) Usage() string {
	return "request generate|call [flags] SERVICE TEXT\n-addr is the caller address of any host, -key the key of a client account.\n"
}

func (c *requestCommand) SetFlags(f *flag.FlagSet) {
	c.registerReadFlags(f)
	f.StringVar(&c.dataCentre, "data-centre", "", "data centre of the caller")
	f.IntVar(&c.maxTokens, "max-tokens", 0, "upper bound of the output in tokens; 0 means none")
	f.BoolVar(&c.acceptRestart, "accept-restart", false, "accept that a lost generation starts again")
	f.BoolVar(&c.quiet, "quiet", false, "print only a summary")
	f.StringVar(&c.idempotencyKey, "idempotency-key", "", "key of a call that must not be repeated")
}

func (c *requestCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	verb, args, ok := c.parseVerb(f, "request", "generate", "call")
	if !ok || len(args) != 2 {
		return c.usageError("usage: request generate|call [flags] SERVICE TEXT")
	}
	transport, err := c.transport()
	if err != nil {
		return c.reportError(err)
	}
	scheme, _, _ := strings.Cut(c.url(""), "://")
	caller := &callerclient.Client{
		SeedAddresses: strings.Split(c.address, ","), Key: c.key, DataCentre: c.dataCentre, HTTP: &http.Client{Transport: transport}, Scheme: scheme,
	}
	if verb == "call" {
		return c.call(ctx, caller, args[0], args[1])
	}
	return c.generate(ctx, caller, args[0], args[1])
}

func (c *requestCommand) generate(ctx context.Context, caller *callerclient.Client, service, prompt string) subcommands.ExitStatus {
	request := callerclient.Request{Service: service, Prompt: prompt, MaxTokens: c.maxTokens, AcceptRestart: c.acceptRestart}
	if !c.quiet {
		request.OnToken = func(text string) { _, _ = fmt.Fprint(c.stdout, text) }
	}
	answer, err := caller.Generate(ctx, request)
	if !c.quiet {
		_, _ = fmt.Fprintln(c.stdout)
	}
	if answer != nil {
		_, _ = fmt.Fprintf(c.stdout, "request=%s generation=%s tokens=%d restarts=%d resumes=%d complete=%t\n",
			answer.RequestID, answer.Generation, len(answer.Tokens), answer.Restarts, answer.Resumes, err == nil)
	}
	if err != nil {
		return c.reportError(err)
	}
	return subcommands.ExitSuccess
}

func (c *requestCommand) call(ctx context.Context, caller *callerclient.Client, service, body string) subcommands.ExitStatus {
	hosts, err := caller.Hosts(ctx)
	if err != nil {
		return c.reportError(err)
	}
	result, err := caller.Call(ctx, hosts[0].Address, service, c.idempotencyKey, []byte(body))
	var refusal *callerclient.Refusal
	if errors.As(err, &refusal) {
		_, _ = fmt.Fprintf(c.stdout, "request=%s kind=%s not-run=%t\n", refusal.Request, refusal.Kind, refusal.NotRun)
	}
	if err != nil {
		return c.reportError(err)
	}
	_, _ = fmt.Fprintf(c.stdout, "request=%s status=%d replayed=%t\n%s\n", result.RequestID, result.Status, result.Replayed, result.Body)
	return subcommands.ExitSuccess
}
