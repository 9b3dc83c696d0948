package gateway_test

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
)

const (
	// neverStops marks a gateway that does not stop.
	neverStops = time.Duration(-1)
	// standbysInformed is how long the scheduler takes at most to send what it has learned to
	// the gateways that may succeed it.
	standbysInformed = 1200 * time.Millisecond
	// untilHeld is how long a stream takes at most to be placed.
	untilHeld = 50 * time.Millisecond
)

// stopAt stops the gateways, the scheduler first and the others in order, at the given
// times after its return. Each is kept up by a stream of its own. It returns the scheduler.
func (f *fleet) stopAt(times ...time.Duration) int {
	scheduler := f.scheduler()
	for i, at := range times {
		if at != neverStops {
			go f.callFor((scheduler+i)%gateways, longPath, "long"+strconv.Itoa(i), "1000,360", "360")
		}
	}
	bubble.Sleep(untilHeld)
	for i, at := range times {
		if at != neverStops {
			go func() {
				bubble.Sleep(at)
				f.stop((scheduler + i) % gateways)
			}()
		}
	}
	return scheduler
}

// asked returns the script of an order in which gateways stop at given times, and a gateway
// is asked for a stream later. The gateways are counted from the scheduler.
func asked(gateway int, at time.Duration, stops ...time.Duration) func(f *fleet) outcome {
	return func(f *fleet) outcome {
		scheduler := f.stopAt(stops...)
		bubble.Sleep(at)
		return f.outruns((scheduler + gateway) % gateways)
	}
}

// freezeLinks delays all messages between the gateways.
func (f *fleet) freezeLinks(d time.Duration) {
	for i := range gateways {
		f.network.Freeze(linkAddress(i), d)
	}
}

// Guards against a stream that a stopping gateway takes later than two seconds after the
// start of its stop, while most others of its failure domain stop, and cuts.
func TestNoOrderOfEventsCutsALateStreamWhileAllGatewaysStop(t *testing.T) {
	const step = 100 * time.Millisecond
	const late = 25 * step
	runStopOrders(t, []stopOrder{
		{name: "all at once, the scheduler is asked", script: asked(0, late, 0, 0, 0)},
		{name: "all at once, another is asked", script: asked(1, late, 0, 0, 0)},
		{name: "two with the scheduler, another is asked", script: asked(1, late, 0, 0, neverStops)},
		{name: "two without the scheduler", script: asked(1, late, neverStops, 0, 0)},
		{name: "the scheduler first, which is asked", script: asked(0, late, 0, 10*step, 10*step)},
		{name: "the scheduler last, another is asked", script: asked(1, late, 24*step, 0, 0)},
		{name: "the scheduler in the middle of a series, the first is asked", script: asked(1, late, 7*step, 0, 15*step)},
		{name: "the scheduler in the middle of a series, the last is asked", script: asked(2, 15*step+late, 7*step, 0, 15*step)},
		{name: "one killed, the others stop", script: func(f *fleet) outcome {
			scheduler := f.stopAt(0, 0, neverStops)
			f.network.Vanish(callerAddress((scheduler + 2) % gateways))
			f.network.Vanish(linkAddress((scheduler + 2) % gateways))
			bubble.Sleep(late)
			return f.outruns(scheduler)
		}},
		{name: "the others stop one millisecond before", script: func(f *fleet) outcome {
			scheduler := f.stopAt(late-time.Millisecond, 0, late-time.Millisecond)
			bubble.Sleep(late)
			return f.outruns((scheduler + 1) % gateways)
		}},
		{name: "two stop, the third is just heard again", script: func(f *fleet) outcome {
			scheduler := f.stopAt(0, 0, neverStops)
			back := linkAddress((scheduler + 2) % gateways)
			f.network.Vanish(back)
			bubble.Sleep(late - 3*step)
			f.network.Restore(back)
			bubble.Sleep(3 * step)
			return f.outruns(scheduler)
		}},
		{name: "no scheduler answers, later", script: func(f *fleet) outcome {
			scheduler := f.stopAt(0, 0, 0)
			bubble.Sleep(late - step)
			f.freezeLinks(3 * step)
			bubble.Sleep(step)
			return f.outruns((scheduler + 1) % gateways)
		}},
		{name: "queued, then granted", script: func(f *fleet) outcome {
			scheduler := f.stopAt(0, 0, 0)
			bubble.Sleep(late)
			f.occupyEngines(scheduler)
			return f.outruns(scheduler)
		}, waits: 3 * step},
		{name: "the body comes 2 s after its header", script: func(f *fleet) outcome {
			scheduler := f.stopAt(0, 0, 0)
			bubble.Sleep(step)
			body, writer := io.Pipe()
			time.AfterFunc(20*step, func() {
				_, _ = writer.Write([]byte("body"))
				_ = writer.Close()
			})
			return f.callWithBody(scheduler, longPath, "outruns", "1000,2940", "12", body)
		}, waits: 20 * step},
		{name: "it breaks off and is resumed", script: func(f *fleet) outcome {
			scheduler := f.stopAt(0, 0, 0)
			bubble.Sleep(late)
			return f.callFor(scheduler, longPath+"?break=5", "outruns", "1000,2940", "12")
		}},
		{name: "no hint", script: func(f *fleet) outcome {
			scheduler := f.stopAt(0, 0, 0)
			bubble.Sleep(late)
			return f.callFor(scheduler, longPath, "outruns", "1000,2940", "")
		}},
		{name: "no stated length, later", script: func(f *fleet) outcome {
			scheduler := f.stopAt(0, 0, 0)
			bubble.Sleep(late)
			return f.callFor(scheduler, longPath, "outruns", "", "")
		}},
		{name: "a stream that overran its plan has ended before", script: func(f *fleet) outcome {
			f.callFor(0, longPath, "overran", "1000,2940", "12")
			bubble.Sleep(standbysInformed)
			scheduler := f.stopAt(0, 0, 0)
			bubble.Sleep(late)
			return f.callFor(scheduler, longPath, "outruns", "1000,2940", "2")
		}},
		{name: "a stream that overran its plan has ended just before the scheduler stops", script: func(f *fleet) outcome {
			f.callFor(0, longPath, "overran", "1000,2940", "12")
			return asked(0, late, 0, 0, neverStops)(f)
		}},
		{name: "long streams that took what was planned have ended before", script: func(f *fleet) outcome {
			for i := range engines * slots {
				go f.callFor(i%gateways, longPath, "kept"+strconv.Itoa(i), "1000,360", "360")
			}
			bubble.Sleep(70 * step)
			return asked(0, late, 0, 0, 0)(f)
		}},
		{name: "a stream that overran its plan was cut by a stop before", script: func(f *fleet) outcome {
			scheduler := f.stopAt(35*step, 0, 35*step)
			bubble.Sleep(28 * step)
			go f.callFor((scheduler+1)%gateways, longPath, "cut", "1000,2940", "12")
			bubble.Sleep(7*step + late)
			return f.outruns(scheduler)
		}},
	})
}

// Guards against a stream that a stopping gateway takes in the first two seconds of its
// stop, while most others of its failure domain stop, and cuts.
func TestNoOrderOfEventsCutsAnEarlyStreamWhileAllGatewaysStop(t *testing.T) {
	const step = 100 * time.Millisecond
	const early = 18 * step
	runStopOrders(t, []stopOrder{
		{name: "all at once, in the first two seconds", script: asked(1, early, 0, 0, 0)},
		{name: "no scheduler answers, in the first two seconds", script: func(f *fleet) outcome {
			scheduler := f.stopAt(0, 0, 0)
			bubble.Sleep(early - step)
			f.freezeLinks(3 * step)
			bubble.Sleep(step)
			return f.outruns((scheduler + 1) % gateways)
		}},
		{name: "queued before the stop, granted after it", script: func(f *fleet) outcome {
			i := (f.scheduler() + 1) % gateways
			settings := f.settings(i)
			settings.GracePeriod = 4 * time.Second
			f.nodes[i].Reload(settings)
			f.occupyEngines(f.scheduler())
			for other := range gateways {
				time.AfterFunc(step/10, func() { f.stop(other) })
			}
			return f.outruns(i)
		}, waits: 3 * step},
		{name: "half as long as stated, in the first two seconds", script: func(f *fleet) outcome {
			scheduler := f.stopAt(0, 0, 0)
			bubble.Sleep(early)
			return f.callFor(scheduler, longPath, "outruns", "1000,720", "180")
		}},
		{name: "no stated length, in the first two seconds", script: func(f *fleet) outcome {
			scheduler := f.stopAt(0, 0, 0)
			bubble.Sleep(early)
			return f.callFor(scheduler, longPath, "outruns", "", "")
		}},
	})
}

// sureEnd is a stream whose stated maximum ends before the exit of the gateway on any
// engine, at a time after the start of the stop.
type sureEnd struct {
	name   string
	at     time.Duration
	tokens int
	// stopping is the number of gateways that stop.
	stopping int
	// overran is set if a stream that exceeded its hint thirty times ended before.
	overran bool
}

// Guards against refusing a stream in a stop whose stated maximum ends in time on any engine.
func TestStreamWhoseMaximumEndsInTimeIsNotRefusedInAStop(t *testing.T) {
	for _, c := range []sureEnd{
		{name: "all stop, 0.3 s of 4.8 s", at: 2500 * time.Millisecond, tokens: 18, stopping: gateways},
		{name: "all stop, 0.3 s of 2.3 s", at: 5000 * time.Millisecond, tokens: 18, stopping: gateways},
		{name: "all stop, 1 s of 4.8 s", at: 2500 * time.Millisecond, tokens: 60, stopping: gateways},
		{name: "all stop, 1 s of 4.8 s after an overrun", at: 2500 * time.Millisecond, tokens: 60, stopping: gateways, overran: true},
		{name: "all stop, 0.1 s of 4.8 s after an overrun", at: 2500 * time.Millisecond, tokens: 6, stopping: gateways, overran: true},
		{name: "one stops, 1 s of 4.8 s", at: 2500 * time.Millisecond, tokens: 60, stopping: 1},
		{name: "one stops, 3 s of 5.8 s in the first two seconds", at: 1500 * time.Millisecond, tokens: 180, stopping: 1},
		{name: "one stops, 0.1 s of 4.8 s after an overrun", at: 2500 * time.Millisecond, tokens: 6, stopping: 1, overran: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			requireServedInStop(t, c.at, c.stopping, c.tokens, c.overran, "")
		})
	}
}

// Guards against refusing a stream in the first two seconds of a stop of all gateways, whose
// stated maximum ends in time, because its hint is as large and is taken for an estimate.
func TestStreamWhoseMaximumEndsInTimeIsNotRefusedWhileAllGatewaysBeginToStop(t *testing.T) {
	requireServedInStop(t, 1500*time.Millisecond, gateways, 240, false, "")
}

// Guards against breaking off a stream in a stop although all that may be left ends in time.
func TestStreamWhoseRestEndsInTimeIsResumedInAStop(t *testing.T) {
	for _, stopping := range []int{1, gateways} {
		t.Run(strconv.Itoa(stopping), func(t *testing.T) {
			// Taken 0.2 s before the stop; 1.3 s after the stop, 270 tokens and 6 s are left.
			requireServedInStop(t, -200*time.Millisecond, stopping, 360, false, "&break=15")
		})
	}
}

// requireServedInStop sends a stream of the given length, which is its hint and its maximum
// too, at a time after the start of the stop of the given number of gateways. The caller
// must get all of it.
func requireServedInStop(t *testing.T, at time.Duration, stopping, tokens int, overran bool, query string) {
	t.Helper()
	lines := &logLines{}
	events := tokens / eventTokens
	var o outcome
	runLoggedFleet(t, slog.New(slog.NewTextHandler(lines, &slog.HandlerOptions{Level: slog.LevelDebug})), func(f *fleet) {
		f.warmUp()
		if overran {
			f.callFor(0, longPath, "overran", "1000,2940", "12")
			bubble.Sleep(standbysInformed)
		}
		go f.callFor(0, longPath, "long", "1000,360", "360")
		bubble.Sleep(untilHeld)
		start := max(0, -at)
		for i := range stopping {
			time.AfterFunc(start, func() { f.stop(i) })
		}
		bubble.Sleep(start + at)
		length := strconv.Itoa(tokens)
		o = f.callFor(0, fmt.Sprintf("%s?events=%d%s", longPath, events, query), "sure", "1000,"+length, length)
		bubble.Sleep(10 * time.Second)
	})
	for _, line := range lines.containing("msg=request ", "id=sure") {
		t.Log(line)
	}
	require.NoError(t, o.err)
	require.Equal(t, http.StatusOK, o.status)
	require.Equal(t, events, strings.Count(o.body, "data:"))
}
