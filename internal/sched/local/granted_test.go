package local_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/sched/local"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

// grantedFleet is one of many processes before engines of which a scheduler has granted it
// most slots.
type grantedFleet struct {
	chooser *local.Chooser
	engines []roster.Upstream
	now     time.Time
	granted []flow.Placement
}

const (
	grantedEngines, grantedSlots = 4, 12
	// ownPart is what one of many processes may have at an engine in any case.
	ownPart = 5
)

func newGrantedFleet() *grantedFleet {
	f := &grantedFleet{now: time.Unix(1_000_000, 0)}
	for i := range grantedEngines {
		f.engines = append(f.engines, roster.Upstream{ID: fmt.Sprint(i), Service: "engines", Slots: grantedSlots})
	}
	f.chooser = local.New("a", func(string) []roster.Upstream { return f.engines }, func() int { return 21 })
	return f
}

func (f *grantedFleet) request() flow.PlacementRequest {
	return flow.PlacementRequest{ID: "r", Service: "engines", PromptTokens: 1000, OutputTokens: 30}
}

// hold holds granted slots of each engine for a second.
func (f *grantedFleet) hold(each int) {
	for range each {
		for _, u := range f.engines {
			f.granted = append(f.granted, f.chooser.Hold(f.now, u, f.request()))
		}
	}
	f.now = f.now.Add(time.Second)
}

func (f *grantedFleet) releaseGranted() {
	for _, p := range f.granted {
		p.Release(f.now, flow.Answered, 30)
	}
	f.granted = nil
}

// choose returns how many slots may be chosen now, and releases them.
func (f *grantedFleet) choose() int {
	var chosen []flow.Placement
	for {
		p, err := f.chooser.Pick(context.Background(), f.now, f.request())
		if err != nil {
			break
		}
		chosen = append(chosen, p)
	}
	for _, p := range chosen {
		p.Release(f.now, flow.Answered, 30)
	}
	return len(chosen)
}

// Guards against callers who are refused beside idle engines while most of them connect to one
// of many gateways, which gets no reply from the scheduler and owns a small part of the slots.
func TestSlotsGrantedLatelyMayBeChosenWithoutTheScheduler(t *testing.T) {
	f := newGrantedFleet()
	require.Equal(t, grantedEngines*ownPart, f.choose())
	f.hold(9)
	f.releaseGranted()
	require.Equal(t, grantedEngines*9, f.choose())
	f.now = f.now.Add(2 * time.Second)
	require.Equal(t, grantedEngines*9, f.choose(), "while it goes on without a reply")
}

// Guards against engines that get more than they run from gateways that each have had most of
// them at some time.
func TestSlotsGrantedLongAgoAreNotChosenWithoutTheScheduler(t *testing.T) {
	f := newGrantedFleet()
	f.hold(9)
	f.releaseGranted()
	f.now = f.now.Add(time.Minute)
	require.Equal(t, grantedEngines*ownPart, f.choose())
}

// Guards against more requests at an engine than it has slots because of what was granted at
// engines that are gone.
func TestSlotsChosenWithoutTheSchedulerAreNoMoreThanAnEngineHas(t *testing.T) {
	f := newGrantedFleet()
	f.hold(grantedSlots)
	f.releaseGranted()
	f.engines = f.engines[:1]
	require.Equal(t, grantedSlots, f.choose())
}
