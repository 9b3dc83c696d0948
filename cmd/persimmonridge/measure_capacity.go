package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/trial/capacity"
)

type capacityCommand struct {
	Page string        `help:"Write the page here."`
	Idle time.Duration `default:"61s" help:"How long idle links are watched, for each of three sizes."`
}

// Run implements kong's command.
func (c *capacityCommand) Run() error {
	measured, err := capacity.Measure(time.Now(), c.Idle, func(part string) { fmt.Fprintln(os.Stderr, "measuring "+part) })
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(measured); err != nil {
		return err
	}
	if c.Page == "" {
		return nil
	}
	page, err := measured.Page()
	if err != nil {
		return err
	}
	const readable = 0o644
	return os.WriteFile(c.Page, page, readable)
}
