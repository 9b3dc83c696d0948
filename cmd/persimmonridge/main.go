// Command persimmonridge runs every role of the system, the operators' commands
// and a self-contained load trial.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// cli defines the command line.
type cli struct {
	Gateway gatewayCommand `cmd:"" help:"Run a gateway: the process on an edge VM of the platform."`
	Explain explainCommand `cmd:"" help:"Reconstruct from logs what happened to a request."`
	Entry   entryCommand   `cmd:"" help:"Run an entry: the process that accepts callers' requests."`
	Agent   agentCommand   `cmd:"" help:"Run an agent: the process that runs next to one upstream."`
	Check   checkCommand   `cmd:"" help:"Check inventory and rules files; list every finding."`
	Apply   applyCommand   `cmd:"" help:"Submit inventory and rules and report whether they were accepted."`
	Audit   auditCommand   `cmd:"" help:"List accepted changes with author, time, reason and patch."`
	Status  statusCommand  `cmd:"" help:"Show the status of a running entry."`
	StandIn standInCommand `cmd:"" help:"Run a stand-in of the platform or of an upstream."`
	Measure measureCommand `cmd:"" help:"Measure scheduling decisions and their costs; prints the tables of the documentation."`
	Try     tryCommand     `cmd:"" help:"Run a small site in this process under load and report the results."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var commands cli
	parsed := kong.Parse(&commands, kong.Name("persimmonridge"),
		kong.Description("A request scheduler for heterogeneous engines."), kong.UsageOnError(),
		kong.BindTo(ctx, (*context.Context)(nil)))
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "persimmonridge: "+err.Error())
		os.Exit(1)
	}
}
