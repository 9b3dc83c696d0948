// Package report summarizes the outcomes that callers saw in a trial.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/persimmonridge/persimmonridge/internal/trial/load"
)

// Tier is the summary of one tier.
type Tier struct {
	Name       string  `json:"name"`
	Offered    int     `json:"offered"`
	InTime     int     `json:"in-time"`
	Late       int     `json:"late"`
	NotRun     int     `json:"not-run"`
	MayHaveRun int     `json:"may-have-run"`
	Cut        int     `json:"cut"`
	Unreached  int     `json:"unreached"`
	Goodput    float64 `json:"goodput"`
	FirstP50   float64 `json:"first-token-p50-ms"`
	FirstP95   float64 `json:"first-token-p95-ms"`
	FirstP99   float64 `json:"first-token-p99-ms"`

	firstToken *hdrhistogram.Histogram
}

// Report is the summary of a trial.
type Report struct {
	Seed              uint64             `json:"seed"`
	Duration          string             `json:"duration"`
	Requests          int                `json:"requests"`
	Goodput           map[string]float64 `json:"goodput"`
	Tiers             []Tier             `json:"tiers"`
	DoubledActions    int                `json:"doubled-actions"`
	InvariantBreaches int                `json:"invariant-breaches"`
	CutAnswers        int                `json:"cut-answers"`
	WrongAnswers      int                `json:"wrong-answers"`
	WastedPrefill     float64            `json:"wasted-prefill"`
	PromptTokens      int                `json:"prompt-tokens"`
	RefusalKinds      map[string]int     `json:"refusal-kinds"`
}

// New summarizes samples; names are the names of the tiers, highest first.
func New(seed uint64, duration time.Duration, names []string, samples []load.Sample) *Report {
	r := &Report{Seed: seed, Duration: duration.String(), Requests: len(samples), Goodput: make(map[string]float64), RefusalKinds: make(map[string]int)}
	for _, name := range names {
		r.Tiers = append(r.Tiers, Tier{Name: name, firstToken: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)})
	}
	for _, s := range samples {
		r.addSample(s)
	}
	for i := range r.Tiers {
		r.Tiers[i].summarize()
		r.Goodput[r.Tiers[i].Name] = r.Tiers[i].Goodput
	}
	return r
}

func (r *Report) addSample(s load.Sample) {
	t := &r.Tiers[min(s.Tier, len(r.Tiers)-1)]
	t.Offered++
	switch s.Outcome {
	case load.InTime:
		t.InTime++
	case load.Late:
		t.Late++
	case load.NotRun:
		t.NotRun++
	case load.MayHaveRun:
		t.MayHaveRun++
	case load.Cut:
		t.Cut++
		r.CutAnswers++
	case load.Wrong:
		t.Cut++
		r.WrongAnswers++
	case load.Unreached:
		t.Unreached++
	}
	if s.ErrorType != "" {
		r.RefusalKinds[s.ErrorType]++
	}
	if s.FirstToken > 0 {
		_ = t.firstToken.RecordValue(s.FirstToken.Microseconds())
	}
}

func (t *Tier) summarize() {
	const microPerMilli = 1000
	if t.Offered > 0 {
		t.Goodput = float64(t.InTime) / float64(t.Offered)
	}
	t.FirstP50 = float64(t.firstToken.ValueAtQuantile(50)) / microPerMilli
	t.FirstP95 = float64(t.firstToken.ValueAtQuantile(95)) / microPerMilli
	t.FirstP99 = float64(t.firstToken.ValueAtQuantile(99)) / microPerMilli
}

// WriteJSON writes the report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable writes the report as a human-readable table.
func (r *Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "tier\toffered\tin time\tlate\tnot run\tmay have run\tcut\tgoodput\tfirst p50\tp95\tp99\t")
	for _, t := range r.Tiers {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f%%\t%.1f ms\t%.1f ms\t%.1f ms\t\n",
			t.Name, t.Offered, t.InTime, t.Late, t.NotRun, t.MayHaveRun, t.Cut+t.Unreached, 100*t.Goodput, t.FirstP50, t.FirstP95, t.FirstP99)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "seed %d, %s: doubled actions %d, invariant breaches %d, cut answers %d, wasted prefill %.1f%% of %d prompt tokens\n",
		r.Seed, r.Duration, r.DoubledActions, r.InvariantBreaches, r.CutAnswers, 100*r.WastedPrefill, r.PromptTokens)
	return err
}
