// Package pattern simulates named load patterns against emulated engines in
// virtual time, without a network, and reports which requests were served in
// time. Placement policies are evaluated here first.
package pattern

import (
	"time"

	"github.com/persimmonridge/persimmonridge/internal/sched/profile"
)

// tokensPerEvent is the number of tokens in one event of a stream.
const tokensPerEvent = 6

// job is the state of one request at an engine. promptLeft counts the prompt
// tokens that are not prefilled yet.
type job struct {
	request     *request
	promptLeft  int
	generated   int
	events      int
	lastEventAt time.Time
}

// engine emulates an inference engine with continuous batching and chunked
// prefill: each step generates one token for every running request whose prompt
// is prefilled, and prefills one chunk of prompt tokens in order of arrival.
type engine struct {
	id       string
	domain   string
	slots    int
	slowness float64
	// pace multiplies the step time at the moment; it is stated with each first event.
	pace float64
	// prefillFactor and firstEventDelay come from the EngineModel.
	prefillFactor   float64
	firstEventDelay time.Duration
	running         []*job
	queue           []*job
	down            bool
	// stepping is true while a step is scheduled.
	stepping bool
}

// add accepts a request; it waits in the engine's own queue if all slots are
// taken.
func (e *engine) add(r *request) {
	j := &job{request: r, promptLeft: max(1, r.prompt)}
	if len(e.running) < e.slots {
		e.running = append(e.running, j)
		return
	}
	e.queue = append(e.queue, j)
}

// load returns the number of running and queued requests.
func (e *engine) load() int { return len(e.running) + len(e.queue) }

// step runs one step and returns its duration and the jobs that finished.
func (e *engine) step(now time.Time) (time.Duration, []*job) {
	milliseconds := profile.StepMs(len(e.running)) * e.slowness
	chunkLeft := profile.PrefillChunkTokens
	for _, j := range e.running {
		if j.promptLeft == 0 || chunkLeft == 0 {
			continue
		}
		tokens := min(chunkLeft, j.promptLeft)
		chunkLeft -= tokens
		j.promptLeft -= tokens
		after := float64(j.request.prompt-j.promptLeft) / 1000
		before := float64(j.request.prompt-j.promptLeft-tokens) / 1000
		milliseconds += (float64(tokens)/profile.PrefillTokensPerMs + profile.PrefillQuadraticMs*(after*after-before*before)) * e.slowness * e.prefillFactor
	}
	duration := time.Duration(milliseconds * e.pace * float64(time.Millisecond))
	return duration, e.decode(now.Add(duration))
}

// decode generates one token for each running request whose prompt is prefilled
// and fills free slots from the queue.
func (e *engine) decode(at time.Time) []*job {
	var ended []*job
	kept := e.running[:0]
	for _, j := range e.running {
		if j.promptLeft > 0 {
			kept = append(kept, j)
			continue
		}
		j.generated++
		if j.generated == 1 || j.generated%tokensPerEvent == 0 {
			j.recordEvent(at, e.firstEventDelay)
		}
		if j.generated >= j.request.output {
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

// recordEvent records the time at which the caller receives an event.
func (j *job) recordEvent(at time.Time, firstEventDelay time.Duration) {
	r := j.request
	j.events++
	if j.events == 1 {
		r.firstEventAt = at.Add(firstEventDelay)
		j.lastEventAt = r.firstEventAt
		return
	}
	receivedAt := at
	if receivedAt.Before(r.firstEventAt) {
		receivedAt = r.firstEventAt
	}
	if gap := receivedAt.Sub(j.lastEventAt); gap > r.longestGap {
		r.longestGap = gap
	}
	j.lastEventAt = receivedAt
}

// crash takes the engine down and returns the jobs that are lost.
func (e *engine) crash() []*job {
	lost := append(append([]*job(nil), e.running...), e.queue...)
	e.running, e.queue, e.down = nil, nil, true
	return lost
}
