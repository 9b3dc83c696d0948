package main

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/trial/policy"
)

type measureCommand struct {
	Moves    movesCommand    `cmd:"" help:"Simulate many seeded version moves, good and bad."`
	Index    indexCommand    `cmd:"" help:"Compare placement policies on the same seeded arrivals."`
	Patterns patternsCommand `cmd:"" help:"Run load patterns against emulated engines under each policy."`
}

type indexCommand struct {
	Seeds int  `default:"5" help:"Number of seeds to average over."`
	Jobs  int  `default:"20000" help:"Jobs per run."`
	JSON  bool `name:"json" help:"Print one JSON object per line."`
}

// experiment is one setting under which all policies are compared.
type experiment struct {
	Name    string         `json:"name"`
	Setting policy.Setting `json:"setting"`
}

// speeds returns the speeds of twenty upstreams of four generations.
func speeds() []float64 {
	var out []float64
	for i := range 20 {
		out = append(out, []float64{2, 1.5, 1, 0.5}[i%4])
	}
	return out
}

func experiments(jobs int) []experiment {
	base := policy.Setting{Jobs: jobs, Speeds: speeds(), Sizes: policy.Pareto, Load: 0.9, Stale: 100 * time.Millisecond, Corrected: true, Error: 0.5, Prefixes: 60, CacheHeld: 6, PrefillShare: 0.3}
	var list []experiment
	add := func(name string, change func(*policy.Setting)) {
		s := base
		change(&s)
		list = append(list, experiment{Name: name, Setting: s})
	}
	for _, load := range []float64{0.5, 0.7, 0.9, 1.0, 1.1, 1.2, 1.5} {
		add(fmt.Sprintf("load %.1f", load), func(s *policy.Setting) { s.Load = load })
	}
	for _, sizes := range []policy.Sizes{policy.Exponential, policy.Weibull} {
		add("sizes "+string(sizes), func(s *policy.Setting) { s.Sizes = sizes })
	}
	for _, stale := range []time.Duration{0, time.Second} {
		add("stale "+stale.String(), func(s *policy.Setting) { s.Stale = stale })
	}
	add("stale 1s, not corrected", func(s *policy.Setting) { s.Stale, s.Corrected = time.Second, false })
	add("sizes known", func(s *policy.Setting) { s.Error = 0 })
	add("sizes badly known", func(s *policy.Setting) { s.Error = 1 })
	add("no cache", func(s *policy.Setting) { s.Prefixes, s.CacheHeld, s.PrefillShare = 0, 0, 0 })
	add("slowdown and burst", func(s *policy.Setting) { s.Slowdown, s.Burst, s.Load = 3, 2, 0.7 })
	return list
}

// row is the mean outcome of one policy over the seeds.
type row struct {
	Experiment string `json:"experiment"`
	policy.Outcome
}

// Run implements kong's command.
func (c *indexCommand) Run() error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "experiment\tpolicy\ttop tier\tsecond\tthird\tmean delay\twasted prefill")
	for _, e := range experiments(c.Jobs) {
		for _, name := range policy.Names() {
			r := c.mean(e, name)
			if c.JSON {
				raw, err := json.Marshal(r)
				if err != nil {
					return err
				}
				fmt.Println(string(raw))
				continue
			}
			fmt.Fprintf(table, "%s\t%s\t%.2f%%\t%.2f%%\t%.2f%%\t%.3f\t%.1f%%\n", e.Name, name, 100*r.Goodput[0], 100*r.Goodput[1], 100*r.Goodput[2], r.MeanDelay, 100*r.Wasted)
		}
	}
	if c.JSON {
		return nil
	}
	return table.Flush()
}

func (c *indexCommand) mean(e experiment, name string) row {
	r := row{Experiment: e.Name, Outcome: policy.Outcome{Policy: name, Goodput: make([]float64, 3)}}
	for seed := range c.Seeds {
		e.Setting.Seed = uint64(seed + 1)
		o := policy.Run(e.Setting, name)
		for tier := range o.Goodput {
			r.Goodput[tier] += o.Goodput[tier] / float64(c.Seeds)
		}
		r.MeanDelay += o.MeanDelay / float64(c.Seeds)
		r.Wasted += o.Wasted / float64(c.Seeds)
	}
	return r
}
