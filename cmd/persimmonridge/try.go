package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/joomcode/errorx"

	"github.com/persimmonridge/persimmonridge/examples"
	"github.com/persimmonridge/persimmonridge/internal/proof/invariant"
	"github.com/persimmonridge/persimmonridge/internal/trial/fleet"
	"github.com/persimmonridge/persimmonridge/internal/trial/load"
	"github.com/persimmonridge/persimmonridge/internal/trial/report"
)

// brokenInvariant is the error of a trial that violated an invariant or ran an
// action twice.
var brokenInvariant = errorx.NewNamespace("try").NewType("broken-invariant")

type tryCommand struct {
	Seed      uint64        `default:"1" help:"Seed of the load and of the stand-ins' faults."`
	Duration  time.Duration `default:"15s" help:"Time during which callers arrive."`
	JSON      bool          `name:"json" help:"Print one JSON object."`
	Inventory string        `type:"existingfile" help:"Inventory to try instead of the Cairo example."`
	Rules     string        `type:"existingfile" help:"Rules to try instead of the Cairo example."`
	Verbose   bool          `help:"Log every event to standard error."`
}

// Run implements kong's command.
func (c *tryCommand) Run(ctx context.Context) error {
	inventoryFile, rulesFile, err := c.files()
	if err != nil {
		return err
	}
	spec, err := fleet.NewSpec(inventoryFile, rulesFile, c.Seed)
	if err != nil {
		return err
	}
	plan, tiers, err := fleet.NewLoadPlan(spec, c.Duration)
	if err != nil {
		return err
	}
	logger := c.logger()
	invariants := invariant.New(logger)
	site, err := fleet.New(spec, logger, invariants)
	if err != nil {
		return err
	}
	callers := load.New(plan, spec.Network, site.URLs)
	c.runLoad(ctx, callers)
	r := report.New(c.Seed, c.Duration, tiers, callers.Samples())
	r.DoubledActions, r.InvariantBreaches = site.Effects().Doubled(), invariants.Total()
	r.PromptTokens = site.Prefill().Offered()
	r.WastedPrefill = float64(site.Prefill().Wasted()) / float64(max(r.PromptTokens, 1))
	if err := site.Close(); err != nil {
		return err
	}
	return c.print(r, invariants)
}

func (c *tryCommand) files() (inventoryFile, rulesFile []byte, err error) {
	inventoryFile, rulesFile = examples.CairoInventory, examples.CairoRules
	if c.Inventory != "" {
		if inventoryFile, err = os.ReadFile(c.Inventory); err != nil {
			return nil, nil, err
		}
	}
	if c.Rules != "" {
		if rulesFile, err = os.ReadFile(c.Rules); err != nil {
			return nil, nil, err
		}
	}
	return inventoryFile, rulesFile, nil
}

func (c *tryCommand) logger() *slog.Logger {
	if c.Verbose {
		return slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	return slog.New(slog.NewTextHandler(io.Discard, nil))
}

// runLoad runs the load and prints progress once per second.
func (c *tryCommand) runLoad(ctx context.Context, callers *load.Callers) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		callers.Run(ctx)
	}()
	started := time.Now()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			if !c.JSON {
				fmt.Fprintf(os.Stderr, "%3.0fs  %d requests sent, %d ended\n", time.Since(started).Seconds(), callers.Sent(), len(callers.Samples()))
			}
		}
	}
}

func (c *tryCommand) print(r *report.Report, invariants *invariant.Recorder) error {
	write := r.WriteTable
	if c.JSON {
		write = r.WriteJSON
	}
	if err := write(os.Stdout); err != nil {
		return err
	}
	for _, breach := range invariants.First() {
		fmt.Fprintf(os.Stderr, "breach: %s, request %s: %s\n", breach.Name(), breach.RequestID(), breach.Detail())
	}
	if r.InvariantBreaches > 0 || r.DoubledActions > 0 {
		return brokenInvariant.New("%d invariant violations, %d actions run twice; run again with --seed %d --verbose", r.InvariantBreaches, r.DoubledActions, r.Seed)
	}
	return nil
}
