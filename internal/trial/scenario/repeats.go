package scenario

import (
	"strings"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/proof/repeats"
	"github.com/persimmonridge/persimmonridge/internal/trial/load"
)

// The limit on repeats of requests to engines: what requests earn by the rules of the example,
// and what each entry may have saved and gets over time, as docs/DESIGN.md states it.
const (
	repeatWindow     = 10 * time.Second
	retryShare       = 0.1
	savedRetries     = 10
	retriesPerSecond = 0.5
)

// collectRepeats returns the window in which engines got most repeats against what the entries
// may send. Each attempt of a caller is a request.
func (r *runner) collectRepeats(startedAt time.Time, samples []load.Sample) repeats.Span {
	log := repeats.NewLog()
	for _, s := range samples {
		if strings.HasPrefix(s.Action, service+"/") {
			for range s.Attempts {
				log.Sent(startedAt.Add(s.SentAfter))
			}
		}
	}
	for _, name := range r.site.Upstreams() {
		e := r.site.Engine(name)
		if e == nil {
			continue
		}
		for id, runs := range e.RunTimes() {
			for _, at := range runs {
				log.Arrived(at, id)
			}
		}
	}
	perEntry := savedRetries + retriesPerSecond*repeatWindow.Seconds()
	return log.Worst(repeats.Limit{Ratio: retryShare, Slack: perEntry * float64(r.mostEntries), Window: repeatWindow})
}
