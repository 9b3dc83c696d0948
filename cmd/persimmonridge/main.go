// Command persimmonridge is the whole system in one binary: the roles, the
// operators' commands, and a trial that needs nothing else.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// cli lists the commands.
type cli struct {
	Gateway gatewayCommand `cmd:"" help:"Run a gateway: the process on an edge VM of the platform."`
	Explain explainCommand `cmd:"" help:"Tell from logs what became of a request."`
	Entry   entryCommand   `cmd:"" help:"Run an entry: the process that faces callers."`
	Agent   agentCommand   `cmd:"" help:"Run an agent: the process beside one upstream."`
	Check   checkCommand   `cmd:"" help:"Check inventory and rules files; list every finding."`
	Apply   applyCommand   `cmd:"" help:"Submit inventory and rules; accepted or refused at once."`
	Audit   auditCommand   `cmd:"" help:"List accepted changes: who, when, why, what."`
	Status  statusCommand  `cmd:"" help:"Show what a running entry holds."`
	StandIn standInCommand `cmd:"" help:"Run a stand-in of the platform or of an upstream."`
	Measure measureCommand `cmd:"" help:"Measure decisions and costs; the pages' tables come from here."`
	Try     tryCommand     `cmd:"" help:"Run a whole small site in this process, under load, and report."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var commands cli
	parsed := kong.Parse(&commands, kong.Name("persimmonridge"),
		kong.Description("A request scheduler for unlike engines."), kong.UsageOnError(),
		kong.BindTo(ctx, (*context.Context)(nil)))
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "persimmonridge: "+err.Error())
		os.Exit(1)
	}
}
