package board

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/sched/division"
)

// account returns the account of a workspace in a tier of the service. Requests from
// gateways of an earlier build have no workspace and share one.
func (s *Scheduler) account(now time.Time, service string, tier int, workspace string) *division.Account {
	return s.ledger.Account(now, division.Key{Service: service, Tier: tier, Workspace: workspace})
}

// leastServed returns the index of the request that gets the next slot of the engine, among
// those of the service and tier of the one at the index, which is the first for which the
// engine is suitable: the first of the workspace with the least usage. A refusal puts a request
// behind others of its own workspace only: otherwise a workspace that always has new requests
// would keep those that come back to another one from all slots. The engine must be suitable
// for the request, so that no slot stays free while a request waits that could use it.
func (s *Scheduler) leastServed(now time.Time, e *engine, queue []*SlotRequest, index int, late bool, baseline float64) int {
	first := queue[index]
	if first.Resent {
		return index
	}
	best, account, usage, compared := index, first.account, first.account.Usage(now), 0
	for i := index + 1; i < len(queue) && compared < maxScanned; i++ {
		req := queue[i]
		if req.account == account || req.Service != first.Service || req.Tier != first.Tier {
			continue
		}
		if other := req.account.Usage(now); other < usage {
			compared++
			if _, ok := s.cost(now, e, req, late, baseline); ok {
				best, account, usage = i, req.account, other
			}
		}
	}
	return best
}

// lastInTurn returns the index of the request that would get a slot last: of those of the
// service and tier that are last in the queue, the last of the workspace with the most usage.
func (s *Scheduler) lastInTurn(now time.Time, queue []*SlotRequest) int {
	index := len(queue) - 1
	last := queue[index]
	if last.Resent {
		return index
	}
	account, usage := last.account, last.account.Usage(now)
	for i := index - 1; i >= 0; i-- {
		req := queue[i]
		if req.Resent {
			break
		}
		if req.account == account || req.Service != last.Service || req.Tier != last.Tier {
			continue
		}
		if other := req.account.Usage(now); other > usage {
			index, account, usage = i, req.account, other
		}
	}
	return index
}

// countAhead returns the number of waiting requests of the same service and tier that go before
// the request: those of its own workspace and rank whose deadline is no later, and those of
// other workspaces that get slots before all of these have theirs.
func (s *Scheduler) countAhead(now time.Time, req *SlotRequest) int {
	own := 0
	others := s.otherWaiting[:0]
	for _, other := range s.waiting {
		if other.Resent || other.Tier != req.Tier || other.Service != req.Service {
			continue
		}
		if other.account == req.account {
			if other.refusedBefore == req.refusedBefore && !other.NextEventDue.After(req.NextEventDue) {
				own++
			}
			continue
		}
		if other.account.Waiting == 0 {
			others = append(others, other.account)
		}
		other.account.Waiting++
	}
	ahead := own
	for _, account := range others {
		ahead += req.account.GoBefore(now, own, account, account.Waiting)
		account.Waiting = 0
	}
	s.otherWaiting = others
	return ahead
}

// MaxNamedWorkspaces is the number of workspaces that logs and metrics name; the others count
// as one.
const MaxNamedWorkspaces = 20

// describeWaiting lists the workspaces of the requests that wait in time.
func (s *Scheduler) describeWaiting() string {
	type entry struct {
		name          string
		waiting, held int
	}
	byName := make(map[string]*entry)
	seen := make(map[*division.Account]bool)
	for _, req := range s.waiting {
		listed := byName[req.Workspace]
		if listed == nil {
			listed = &entry{name: cmp.Or(req.Workspace, "(none)")}
			byName[req.Workspace] = listed
		}
		listed.waiting++
		if !seen[req.account] {
			seen[req.account] = true
			listed.held += req.account.Held()
		}
	}
	entries := slices.SortedFunc(maps.Values(byName), func(x, y *entry) int {
		return cmp.Or(cmp.Compare(y.waiting, x.waiting), cmp.Compare(x.name, y.name))
	})
	if len(entries) > MaxNamedWorkspaces {
		others := &entry{name: "(others)"}
		for _, e := range entries[MaxNamedWorkspaces:] {
			others.waiting, others.held = others.waiting+e.waiting, others.held+e.held
		}
		entries = append(entries[:MaxNamedWorkspaces], others)
	}
	texts := make([]string, 0, len(entries))
	for _, e := range entries {
		texts = append(texts, fmt.Sprintf("%s:%d/%d", e.name, e.waiting, e.held))
	}
	return strings.Join(texts, " ")
}
