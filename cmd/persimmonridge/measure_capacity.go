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
	From string        `type:"existingfile" help:"Write the page from an earlier run's output instead of measuring."`
	Idle time.Duration `default:"250s" help:"How long idle links are watched; longer than their pings are apart."`
}

// Run implements kong's command.
func (c *capacityCommand) Run() error {
	measured, err := c.measured()
	if err != nil || c.Page == "" {
		return nil
	}
	page, err := measured.Page()
	if err != nil {
		return err
	}
	const readable = 0o644
	return os.WriteFile(c.Page, page, readable)
}

// measured measures, and prints the result as JSON, or reads an earlier one.
func (c *capacityCommand) measured() (measured capacity.Measured, err error) {
	if c.From != "" {
		raw, err := os.ReadFile(c.From)
		if err != nil {
			return measured, err
		}
		err = json.Unmarshal(raw, &measured)
		return measured, err
	}
	measured, err = capacity.Measure(time.Now(), c.Idle, func(part string) { fmt.Fprintln(os.Stderr, "measuring "+part) })
	if err != nil {
		return measured, err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return measured, encoder.Encode(measured)
}
