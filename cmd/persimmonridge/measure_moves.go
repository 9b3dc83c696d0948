package main

import (
	"fmt"
	"os"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/config/document"
	"github.com/persimmonridge/persimmonridge/internal/trial/moves"
)

type movesCommand struct {
	Seeds int           `default:"100" help:"Number of moves of each kind."`
	Rate  float64       `default:"20" help:"Requests per second of the service."`
	Span  time.Duration `default:"1h" help:"Time from start to deadline."`
}

// Run implements kong's command.
func (c *movesCommand) Run() error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "trouble\tversion\tmoves\tcompleted in time\ttaken back\topen\tharmed, mean\tharmed, worst\tshare while faulty, worst\tfirst fault to none, p50\tworst")
	for _, disturbance := range moves.Disturbances() {
		for _, kind := range moves.Kinds() {
			if err := c.row(table, disturbance, kind); err != nil {
				return err
			}
		}
	}
	return table.Flush()
}

func (c *movesCommand) row(table *tabwriter.Writer, disturbance moves.Disturbance, kind moves.Kind) error {
	completed, takenBack, open, affected, maxAffected := 0, 0, 0, 0, 0
	share := 0.0
	var times []time.Duration
	for seed := range c.Seeds {
		o, err := moves.Run(moves.Setting{Seed: uint64(seed + 1), Kind: kind, Disturbance: disturbance, Rate: c.Rate, Span: c.Span})
		if err != nil {
			return err
		}
		switch {
		case o.InTime:
			completed++
		case o.Verdict == document.RolledBack:
			takenBack++
		default:
			open++
		}
		affected += o.Affected
		maxAffected = max(maxAffected, o.Affected)
		share = max(share, o.MaxFaultyShare)
		times = append(times, o.FaultToLastRequest)
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%.1f\t%d\t%.0f%%\t%s\t%s\n", disturbance, kind, c.Seeds, completed, takenBack, open,
		float64(affected)/float64(c.Seeds), maxAffected, 100*share, times[len(times)/2].Round(time.Second), times[len(times)-1].Round(time.Second))
	return nil
}
