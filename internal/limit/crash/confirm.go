package crash

import (
	"slices"
	"time"
)

const (
	// confirmationWindow is the longest time between an interrupted answer and a
	// refused connection to its upstream for both to be one crash: the refusal is
	// noticed within a round trip of the crash, as soon as any request is sent there.
	confirmationWindow = 1500 * time.Millisecond
	// endedRetention is how long an interrupted answer is remembered: the registration
	// of a crashed upstream lapses after three heartbeats, and the store may be late.
	endedRetention = 10 * time.Second
	// goneRetention is how long a process that is gone is remembered: an answer that stays
	// silent ends with its caller's patience.
	goneRetention = time.Minute
	// minSilence is how long nothing has come of an answer for its request to be suspected
	// when the process is gone: a registration lapses later than that.
	minSilence = 1500 * time.Millisecond
	// tellWithin is how long the end of a process is told to peers. It is shorter than
	// endedRetention, so that none hears again of what it has forgotten.
	tellWithin = 5 * time.Second
	// maxSuspicions limits the interrupted requests that are remembered at a time, and
	// maxEnded the processes that are known to have ended.
	maxSuspicions = 4096
	maxEnded      = 4096
)

// suspectedRequest is a request whose answer an upstream interrupted.
type suspectedRequest struct {
	fingerprint uint64
	// parts are the parts of its prompt besides its own, if the upstream had just begun to
	// execute it.
	parts []uint64
	at    time.Time
	// lasted reports that the upstream had executed it for a while.
	lasted bool
	// silent reports that the answer did not end, but nothing of it came. A refused
	// connection does not confirm that the upstream has crashed meanwhile.
	silent bool
}

// runningRequest is a request that was sent and of whose answer nothing has come yet.
type runningRequest struct {
	fingerprint uint64
	parts       []uint64
	sentAt      time.Time
}

// Sent records that a request is sent to an upstream's process. The function that it returns
// ends that, once something came of the answer or nothing will.
func (t *Tracker) Sent(now time.Time, process string, fingerprint uint64, parts ...uint64) (done func()) {
	r := &runningRequest{fingerprint: fingerprint, parts: parts, sentAt: now}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[process] == nil {
		t.running[process] = make(map[*runningRequest]struct{})
	}
	t.running[process][r] = struct{}{}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.running[process], r)
		if len(t.running[process]) == 0 {
			delete(t.running, process)
		}
	}
}

// suspectSilentLocked suspects the requests of which nothing has come yet from a process that
// is gone.
func (t *Tracker) suspectSilentLocked(now time.Time, process string) {
	for r := range t.running[process] {
		if now.Sub(r.sentAt) < minSilence || t.interruptedCount >= maxSuspicions {
			continue
		}
		t.interrupted[process] = append(t.interrupted[process], suspectedRequest{fingerprint: r.fingerprint, parts: r.parts, at: now, silent: true})
		t.interruptedCount++
	}
}

// endedProcess is what is known of the end of an upstream's process.
type endedProcess struct {
	at time.Time
	// gone reports that it does not run any more. Otherwise it refused a connection.
	gone bool
}

// explains reports whether the end of the process is why the answer was interrupted.
func (e endedProcess) explains(s suspectedRequest) bool {
	apart := e.at.Sub(s.at).Abs()
	switch {
	case e.gone && s.silent && s.at.After(e.at):
		return apart <= goneRetention
	case e.gone:
		return apart <= endedRetention
	default:
		return apart <= confirmationWindow && !s.silent
	}
}

// retention returns how long the end is remembered.
func (e endedProcess) retention() time.Duration {
	if e.gone {
		return goneRetention
	}
	return endedRetention
}

// Broke records that an upstream's process interrupted the answer to a request that it had
// just begun to execute, and reports whether it is known to have crashed. The parts are those
// of the request's prompt besides its own.
func (t *Tracker) Broke(now time.Time, process string, fingerprint uint64, parts ...uint64) (crashed bool) {
	return t.suspect(now, process, suspectedRequest{fingerprint: fingerprint, parts: parts, at: now})
}

// BrokeLate is Broke for a request that the upstream had executed for a while, so that the
// parts of its prompt are no cause.
func (t *Tracker) BrokeLate(now time.Time, process string, fingerprint uint64) (crashed bool) {
	return t.suspect(now, process, suspectedRequest{fingerprint: fingerprint, at: now, lasted: true})
}

// Unanswered records that nothing came of an upstream's answer to a request before its
// caller left or its time was over.
func (t *Tracker) Unanswered(now time.Time, process string, fingerprint uint64, parts ...uint64) (crashed bool) {
	return t.suspect(now, process, suspectedRequest{fingerprint: fingerprint, parts: parts, at: now, silent: true})
}

func (t *Tracker) suspect(now time.Time, process string, s suspectedRequest) (crashed bool) {
	t.mu.Lock()
	t.expire(now)
	urgent := false
	if end, known := t.ended[process]; known && end.explains(s) {
		urgent, crashed = t.observe(now, s, process), true
	} else if t.interruptedCount < maxSuspicions {
		t.interrupted[process] = append(t.interrupted[process], s)
		t.interruptedCount++
	}
	t.mu.Unlock()
	t.notify(urgent)
	return crashed
}

// Down records that a process refuses connections: the requests that it interrupted
// shortly before were being executed when it crashed. It returns their fingerprints.
func (t *Tracker) Down(now time.Time, process string) []uint64 {
	return t.end(now, process, endedProcess{at: now})
}

// DownTold records that a process refused a connection of a peer some time ago.
func (t *Tracker) DownTold(now time.Time, process string, age time.Duration) []uint64 {
	if age < 0 || age > endedRetention || len(process) > maxUpstreamLength {
		return nil
	}
	return t.end(now, process, endedProcess{at: now.Add(-age)})
}

// Gone records that a process does not run any more although it has not announced that: its
// registration has lapsed, or another process has its address. It returns the fingerprints
// of the requests that it was executing.
func (t *Tracker) Gone(now time.Time, process string) []uint64 {
	return t.end(now, process, endedProcess{at: now, gone: true})
}

func (t *Tracker) end(now time.Time, process string, e endedProcess) []uint64 {
	t.mu.Lock()
	t.expire(now)
	known, isKnown := t.ended[process]
	isNew := !isKnown || (e.gone && !known.gone) || e.at.Sub(known.at) > confirmationWindow
	if isNew && (isKnown || len(t.ended) < maxEnded) {
		t.ended[process] = e
	}
	if isNew && e.gone {
		t.suspectSilentLocked(now, process)
	}
	var observed []uint64
	urgent := false
	t.interrupted[process] = slices.DeleteFunc(t.interrupted[process], func(s suspectedRequest) bool {
		if !e.explains(s) {
			return false
		}
		if !slices.Contains(observed, s.fingerprint) {
			observed = append(observed, s.fingerprint)
			urgent = t.observe(now, s, process) || urgent
		}
		t.interruptedCount--
		return true
	})
	if len(t.interrupted[process]) == 0 {
		delete(t.interrupted, process)
	}
	t.mu.Unlock()
	t.notify(urgent)
	return observed
}

// IsEnded reports whether a process is known to have ended shortly before.
func (t *Tracker) IsEnded(now time.Time, process string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	end, known := t.ended[process]
	return known && now.Sub(end.at) <= confirmationWindow
}

// DownProcess is a process that refused a connection or is gone.
type DownProcess struct {
	Process string
	Age     time.Duration
}

// DownProcesses returns the processes that refused connections, to tell peers.
func (t *Tracker) DownProcesses(now time.Time) []DownProcess {
	t.mu.Lock()
	defer t.mu.Unlock()
	var down []DownProcess
	for process, e := range t.ended {
		if age := now.Sub(e.at); !e.gone && age <= tellWithin {
			down = append(down, DownProcess{Process: process, Age: age})
		}
	}
	return down
}

// Clearance is a fingerprint or a part of prompts that was served some time ago, after a
// crash.
type Clearance struct {
	Fingerprint uint64
	// IsPart reports that the fingerprint is that of a part.
	IsPart bool
	Age    time.Duration
}

// Clearances returns what was served after a crash, to tell peers.
func (t *Tracker) Clearances(now time.Time) []Clearance {
	t.mu.Lock()
	defer t.mu.Unlock()
	var cleared []Clearance
	for fingerprint, servedAt := range t.cleared {
		if age := now.Sub(servedAt); age <= tellWithin {
			cleared = append(cleared, Clearance{Fingerprint: fingerprint, Age: age})
		}
	}
	for part, servedAt := range t.clearedParts {
		if age := now.Sub(servedAt); age <= tellWithin {
			cleared = append(cleared, Clearance{Fingerprint: part, IsPart: true, Age: age})
		}
	}
	return cleared
}

// ServedElsewhere records that a peer told of something that was served, and reports
// whether that clears it of crashes.
func (t *Tracker) ServedElsewhere(now time.Time, c Clearance) bool {
	if c.Age < 0 || c.Age > endedRetention {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.IsPart {
		return t.servePartsLocked(now, now.Add(-c.Age), []uint64{c.Fingerprint})
	}
	return t.clearLocked(now, now.Add(-c.Age), c.Fingerprint)
}

// expireSuspicions forgets old interruptions and ends.
func (t *Tracker) expireSuspicions(now time.Time) {
	for process, suspicions := range t.interrupted {
		kept := slices.DeleteFunc(suspicions, func(s suspectedRequest) bool { return now.Sub(s.at) > endedRetention })
		t.interruptedCount -= len(suspicions) - len(kept)
		t.interrupted[process] = kept
		if len(kept) == 0 {
			delete(t.interrupted, process)
		}
	}
	for process, e := range t.ended {
		if now.Sub(e.at) > e.retention() {
			delete(t.ended, process)
		}
	}
}
