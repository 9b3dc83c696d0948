package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/trial/pattern"
)

// patternsCommand runs load patterns against emulated engines.
type patternsCommand struct {
	Seeds   int    `default:"3" help:"Number of seeds; shares are means over them."`
	Pattern string `help:"Run only this pattern."`
}

// Run implements kong's command.
func (c *patternsCommand) Run() error {
	policies := []struct {
		name   string
		policy pattern.PolicyFactory
	}{{"board", pattern.Board}, {"fewest", pattern.LeastLoaded}}
	var seeds []uint64
	for i := range c.Seeds {
		seeds = append(seeds, uint64(i+1))
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "pattern\tpolicy\tworth\tworst 2 s\tcritiques in time\tanswers in time\ttags in time\trefused\tlate\twait before refusal\t")
	for _, p := range pattern.Patterns {
		if c.Pattern != "" && c.Pattern != p.Name {
			continue
		}
		for _, policy := range policies {
			r := pattern.Mean(p, seeds, policy.policy)
			refused, late, held := 0, 0, time.Duration(0)
			for _, tier := range r.Tiers {
				refused, late, held = refused+tier.Refused, late+tier.Late, held+tier.WaitBeforeRefusal
			}
			fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\t%s\t\n", p.Name, policy.name, r.ValueShare, r.WorstWindowShare,
				r.Tiers[0].InTimeShare(), r.Tiers[1].InTimeShare(), r.Tiers[2].InTimeShare(), refused, late, held.Round(time.Second))
		}
	}
	return w.Flush()
}
