package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/platform/standin"
)

const (
	// rest is what upstreams ask for in a refusal. restSlack is the time after a refusal in
	// which requests on their way do not count, and maxInRest how many may come in the rest.
	rest      = 3 * time.Second
	restSlack = 500 * time.Millisecond
	maxInRest = 2
)

// refuse makes the engine turn all requests away and ask for rest, or end that.
func (f *fleet) refuse(engine int, refuses bool) {
	value := ""
	if refuses {
		value = "3"
	}
	f.state(engine, "Retry-After", value)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refuses[engineAddress(engine)] = refuses
}

// requireRested checks that the engine, which refused all requests since a time, got few
// from each gateway that it asked for rest. The ID of a request ends with its gateway.
func (f *fleet) requireRested(engine int, since time.Time) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	byGateway := make(map[string][]time.Time)
	for i, at := range f.arrivals[engineAddress(engine)] {
		id := f.senders[engineAddress(engine)][i]
		if !at.Before(since) {
			sender := id[strings.LastIndex(id, "-")+1:]
			byGateway[sender] = append(byGateway[sender], at)
		}
	}
	require.NotEmpty(f.t, byGateway, "an engine that asks for rest is tried again after it")
	for sender, arrivals := range byGateway {
		for i, refused := range arrivals {
			early := 0
			for _, at := range arrivals[i+1:] {
				if at.After(refused.Add(restSlack)) && at.Before(refused.Add(rest)) {
					early++
				}
			}
			require.LessOrEqual(f.t, early, maxInRest, "gateway %s, engine %d", sender, engine)
		}
	}
}

// Guards against requests to upstreams that have turned this gateway away and asked it for
// rest, whatever happens to the store, the scheduler and the links.
func TestUpstreamThatAsksForRestGetsIt(t *testing.T) {
	for name, prepare := range statementConditions {
		t.Run(name, func(t *testing.T) {
			runFleet(t, func(f *fleet) {
				prepare(f)
				go func() {
					bubble.Sleep(time.Second)
					f.refuse(0, true)
					f.refuse(1, true)
				}()
				since := time.Now().Add(time.Second)
				f.press(10 * time.Second)
				for i := range engines {
					if i < 2 {
						f.requireRested(i, since)
					} else {
						require.NotEmpty(t, f.arrivalsSince(i, since), "the other engines are used")
					}
				}
				f.refuse(0, false)
				f.press(4 * time.Second)
				again := time.Now()
				f.press(2 * time.Second)
				f.store.SetFault(standin.None)
				require.GreaterOrEqual(t, len(f.arrivalsSince(0, again)), len(f.arrivalsSince(2, again))/2, "after its rest it is used again")
			})
		})
	}
}

// Guards against callers who are told to come back, again and again, while all upstreams
// rest.
func TestCallerIsToldWhenARestIsOver(t *testing.T) {
	for name, prepare := range serviceKinds {
		t.Run(name, func(t *testing.T) {
			runFleet(t, func(f *fleet) {
				prepare(f)
				for i := range engines {
					f.refuse(i, true)
				}
				f.press(time.Second)
				refused := f.call(0, "/old/x?events=1", "refused")
				require.Equal(t, http.StatusServiceUnavailable, refused.status)
				seconds, err := strconv.ParseFloat(refused.retryAfter, 64)
				require.NoError(t, err)
				require.LessOrEqual(t, seconds, rest.Seconds())
				for i := range engines {
					f.refuse(i, false)
				}
				bubble.Sleep(time.Duration(seconds*float64(time.Second)) + time.Millisecond)
				require.Equal(t, http.StatusOK, f.call(0, "/old/x?events=1", "returned").status)
			})
		})
	}
}

// Guards against callers who come back together when a rest is over, as they were told, and
// of whom all but one for each upstream are refused again.
func TestCallersWhoReturnAfterARestAreServed(t *testing.T) {
	for name, prepare := range serviceKinds {
		t.Run(name, func(t *testing.T) {
			runFleet(t, func(f *fleet) {
				prepare(f)
				for i := range engines {
					f.refuse(i, true)
				}
				f.press(time.Second)
				for i := range engines {
					f.refuse(i, false)
				}
				bubble.Sleep(rest)
				outcomes := make([]outcome, engines+slots)
				var returned sync.WaitGroup
				for i := range outcomes {
					returned.Go(func() { outcomes[i] = f.call(0, "/old/x?events=1", fmt.Sprint("returned-", i)) })
				}
				returned.Wait()
				require.Equal(t, len(outcomes), countServed(outcomes))
			})
		})
	}
}
