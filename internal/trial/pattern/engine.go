// Package pattern plays named load patterns against emulated engines in fake
// time, without a network, and tells who was served in time. It is where a rule
// of choice is measured before it is measured anywhere else.
package pattern

import (
	"time"

	"github.com/persimmonridge/persimmonridge/internal/sched/profile"
)

// eventTokens is how many tokens one event of a stream holds.
const eventTokens = 6

// job is one generation on its way through an engine.
type job struct {
	request *request
	unread  int
	made    int
	events  int
	eventAt time.Time
}

// engine emulates a batching engine step by step: each step makes one token for
// every running request that is read and reads one chunk of prompts, in the
// order of arrival.
type engine struct {
	id       string
	slots    int
	slowness float64
	// reading and fixed are those of the engine's make.
	reading float64
	fixed   time.Duration
	running []*job
	queue   []*job
	down    bool
	// busy tells that a step is under way.
	busy bool
}

// add takes a request; what exceeds the slots waits in the engine's own queue.
func (e *engine) add(r *request) {
	j := &job{request: r, unread: max(1, r.prompt)}
	if len(e.running) < e.slots {
		e.running = append(e.running, j)
		return
	}
	e.queue = append(e.queue, j)
}

// load is how many requests the engine has.
func (e *engine) load() int { return len(e.running) + len(e.queue) }

// step makes one step and returns how long it takes and the jobs that ended.
func (e *engine) step(now time.Time) (time.Duration, []*job) {
	length := profile.StepTime(len(e.running)) * e.slowness
	left := profile.Chunk
	for _, j := range e.running {
		if j.unread == 0 || left == 0 {
			continue
		}
		part := min(left, j.unread)
		left -= part
		j.unread -= part
		done := float64(j.request.prompt-j.unread) / 1000
		before := float64(j.request.prompt-j.unread-part) / 1000
		length += (float64(part)/profile.PromptPerMs + profile.Quadratic*(done*done-before*before)) * e.slowness * e.reading
	}
	took := time.Duration(length * float64(time.Millisecond))
	return took, e.decode(now.Add(took))
}

// decode makes one token for each request that is read.
func (e *engine) decode(at time.Time) []*job {
	var ended []*job
	kept := e.running[:0]
	for _, j := range e.running {
		if j.unread > 0 {
			kept = append(kept, j)
			continue
		}
		j.made++
		if j.made == 1 || j.made%eventTokens == 0 {
			j.event(at, e.fixed)
		}
		if j.made >= j.request.output {
			ended = append(ended, j)
			continue
		}
		kept = append(kept, j)
	}
	e.running = kept
	for len(e.running) < e.slots && len(e.queue) > 0 {
		e.running = append(e.running, e.queue[0])
		e.queue = e.queue[1:]
	}
	return ended
}

// event notes that an event reaches the caller.
func (j *job) event(at time.Time, fixed time.Duration) {
	r := j.request
	j.events++
	if j.events == 1 {
		r.first = at.Add(fixed)
		j.eventAt = r.first
		return
	}
	seen := at
	if seen.Before(r.first) {
		seen = r.first
	}
	if gap := seen.Sub(j.eventAt); gap > r.longestGap {
		r.longestGap = gap
	}
	j.eventAt = seen
}

// crash drops all that the engine has.
func (e *engine) crash() []*job {
	lost := append(append([]*job(nil), e.running...), e.queue...)
	e.running, e.queue, e.down = nil, nil, true
	return lost
}
