package gateway

import (
	"cmp"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// workspaceCounts counts placements by workspace. The first board.MaxNamedWorkspaces are named,
// so that the number of label values is bounded.
type workspaceCounts struct {
	places *prometheus.CounterVec
	mu     sync.Mutex
	names  map[string]bool
}

func newWorkspaceCounts(auto promauto.Factory) *workspaceCounts {
	return &workspaceCounts{
		names: make(map[string]bool),
		places: auto.NewCounterVec(prometheus.CounterOpts{
			Name: "persimmonridge_workspace_places_total", Help: "Asks for a place on an upstream by workspace and result.",
		}, []string{"workspace", "result"}),
	}
}

// placed counts a placement that was granted or refused.
func (c *workspaceCounts) placed(workspace string, granted bool) {
	result := "refused"
	if granted {
		result = "granted"
	}
	c.places.WithLabelValues(c.label(workspace), result).Inc()
}

func (c *workspaceCounts) label(workspace string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.names[workspace] {
		if len(c.names) >= board.MaxNamedWorkspaces {
			return "(others)"
		}
		c.names[workspace] = true
	}
	return cmp.Or(workspace, "(none)")
}
