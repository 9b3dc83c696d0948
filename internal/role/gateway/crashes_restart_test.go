package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/platform/standin"
)

// restart stops a gateway and starts it again.
func (f *fleet) restart(i int) {
	f.stop(i)
	ctx, cancel := context.WithCancel(f.t.Context())
	f.cancels[i], f.stopOnce[i], f.exits[i] = cancel, &sync.Once{}, make(chan error, 1)
	f.nodes[i] = f.run(ctx, i)
}

// Guards against a gateway that has just started, after all others or beside them, and sends
// what is known to crash upstreams until it has seen enough crashes itself.
func TestGatewaysThatRestartKnowWhatCrashesUpstreams(t *testing.T) {
	crashes := func(r *http.Request) bool {
		return strings.Contains(r.Header.Get(promptHeader), crashingPart) || strings.HasPrefix(r.URL.Path, crashPath)
	}
	for name, restart := range map[string]func(c *crashingEngines){
		"one":                 func(c *crashingEngines) { c.restart(0) },
		"all":                 func(c *crashingEngines) { c.restartAll() },
		"all one by one":      func(c *crashingEngines) { c.restart(0); c.restart(1); c.restart(2) },
		"all, and then again": func(c *crashingEngines) { c.restartAll(); c.restartAll() },
		"all, and then the store is away": func(c *crashingEngines) {
			c.restartAll()
			bubble.Sleep(time.Second)
			c.store.SetFault(standin.NoResponse)
		},
	} {
		t.Run(name, func(t *testing.T) {
			var c *crashingEngines
			var after int
			var beside []outcome
			runFleet(t, func(f *fleet) {
				c = newCrashingEngines(f, crashes)
				c.repeatPart(6, 1200*time.Millisecond)
				c.repeat(6, 1200*time.Millisecond)
				bubble.Sleep(2 * time.Second)
				restart(c)
				bubble.Sleep(2 * time.Second)
				before := len(c.arrivedAt)
				c.repeatPart(3, 1200*time.Millisecond)
				c.repeat(3, 1200*time.Millisecond)
				after = len(c.arrivedAt) - before
				for i := range gateways {
					beside = append(beside, c.callWithParts(i, fmt.Sprint("beside-", i), firstPart, subject(i)))
				}
				f.store.SetFault(standin.None)
				bubble.Sleep(restartTime + lapseTime)
			})
			require.Zero(t, after)
			for _, o := range beside {
				require.Equal(t, http.StatusOK, o.status)
			}
		})
	}
}

// restartAll restarts all gateways at once.
func (f *fleet) restartAll() {
	for i := range f.size {
		f.cancels[i]()
	}
	for i := range f.size {
		f.restart(i)
	}
}

// Guards against a refusal that never ends: in the store, at a gateway, or because one tells
// the other.
func TestRefusalOfWhatCrashesUpstreamsEnds(t *testing.T) {
	var c *crashingEngines
	var during, after outcome
	stored := 0
	runFleet(t, func(f *fleet) {
		broken := true
		c = newCrashingEngines(f, func(r *http.Request) bool {
			return broken && strings.Contains(r.Header.Get(promptHeader), crashingPart)
		})
		c.repeatPart(6, 1200*time.Millisecond)
		bubble.Sleep(2 * time.Second)
		f.restartAll()
		bubble.Sleep(2 * time.Second)
		broken = false
		during = c.callWithParts(0, "during", firstPart, crashingPart, subject(0))
		bubble.Sleep(3 * time.Minute)
		after = c.callWithParts(1, "after", firstPart, crashingPart, subject(0))
		stored = f.store.Count("crash-causes/")
	})
	require.Equal(t, http.StatusServiceUnavailable, during.status)
	require.Equal(t, http.StatusOK, after.status)
	require.Zero(t, stored)
}
