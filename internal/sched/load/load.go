// Package load keeps the latest load samples of upstreams that state a pace: those that this
// gateway received in responses and those that other gateways passed on. It decides which
// samples a gateway reports and which a scheduler's gateway answers with. It uses no network.
package load

import (
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/sched/pace"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

const (
	// MaxAge is the age from which samples are dropped. An upstream whose last sample is
	// older counts as one that has stated no pace.
	MaxAge = 10 * time.Second
	// ReportInterval is the interval between two reports of a gateway.
	ReportInterval = 100 * time.Millisecond
	// emptyReportInterval is the time without samples to report after which a gateway that
	// has requests sends an empty report to get an answer.
	emptyReportInterval = time.Second
	// minAnswerInterval bounds the answers to one peer. Two gateways that disagree about
	// the scheduler could otherwise answer each other without pause.
	minAnswerInterval = ReportInterval / 2
	// maxProcesses bounds the upstream processes that are kept, because peers name them.
	maxProcesses = 8192
	// maxCount bounds the counts of a sample. No upstream holds a million requests, so
	// larger counts are errors.
	maxCount = 1_000_000
	// minPace and maxPace bound the paces that are believed, as in responses.
	minPace, maxPace = 0.1, 100
)

// Sample is the load that an upstream's process stated at a time.
type Sample struct {
	Process roster.Process
	Load    exchange.Load
	// At is when the sample was received, by the clock of this gateway.
	At time.Time
}

// valid reports whether the sample can be true and is recent enough.
func (s Sample) valid(now time.Time) bool {
	l := s.Load
	if l.Running < 0 || l.Waiting < 0 || l.Running > maxCount || l.Waiting > maxCount || now.Sub(s.At) >= MaxAge {
		return false
	}
	return l.Pace == 0 || (l.Pace >= minPace && l.Pace <= maxPace)
}

// View is what is known of an upstream's process.
type View struct {
	// Load and At are those of the newest sample.
	Load exchange.Load
	At   time.Time
	// Pace is the pace to expect, and StatedPace the one that was stated last.
	Pace, StatedPace float64
}

// entry is the newest sample of a process. Its number orders changes of the table.
type entry struct {
	Sample
	estimate pace.Estimate
	// stated and statedAt are the last pace and its time.
	stated   float64
	statedAt time.Time
	// origin is the gateway that received the sample in a response; it is empty if that
	// is not known, and for samples that are not shared.
	origin string
	// shared reports whether gateways exchange samples of the process.
	shared bool
	number uint64
}

// Table holds the newest sample of each process. It is safe for concurrent use.
type Table struct {
	node string

	mu      sync.Mutex
	entries map[roster.Process]*entry
	number  uint64
	// sent holds, by gateway, the number of the last change that it was sent and when.
	sent       map[string]sent
	reported   uint64
	reportedAt time.Time
	usedAt     time.Time
}

type sent struct {
	number uint64
	at     time.Time
}

// New returns an empty table of the gateway.
func New(node string) *Table {
	return &Table{node: node, entries: make(map[roster.Process]*entry), sent: make(map[string]sent)}
}

// Received records a sample from a response to this gateway. Only shared samples are
// reported to other gateways. Samples of processes that have stated no pace are ignored.
func (t *Table) Received(s Sample, shared bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	origin := ""
	if shared {
		origin = t.node
	}
	t.record(s.At, s, origin, shared)
}

// Reported records the samples of another gateway's report, which it received itself.
func (t *Table) Reported(now time.Time, peer string, samples []Sample) { t.heard(now, peer, samples) }

// Answered records the samples of an answer. They are not passed on: the scheduler's
// gateway has sent them to the others.
func (t *Table) Answered(now time.Time, samples []Sample) { t.heard(now, "", samples) }

func (t *Table) heard(now time.Time, origin string, samples []Sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range samples {
		if s.At.After(now) {
			s.At = now
		}
		t.record(now, s, origin, true)
	}
}

func (t *Table) record(now time.Time, s Sample, origin string, shared bool) {
	if !s.valid(now) {
		return
	}
	e := t.entries[s.Process]
	if e != nil && now.Sub(e.statedAt) >= MaxAge {
		delete(t.entries, s.Process)
		e = nil
	}
	if e == nil {
		if s.Load.Pace == 0 || len(t.entries) >= maxProcesses {
			return
		}
		e = &entry{}
		t.entries[s.Process] = e
	} else if !s.At.After(e.At) {
		return
	}
	if s.Load.Pace > 0 {
		e.estimate.Stated(s.At, s.Load.Pace)
		e.stated, e.statedAt = s.Load.Pace, s.At
	}
	t.number++
	e.Sample, e.origin, e.shared, e.number = s, origin, shared, t.number
}

// View returns what is known of the process, and whether it has stated a pace within MaxAge.
func (t *Table) View(now time.Time, p roster.Process) (View, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[p]
	if e == nil || now.Sub(e.statedAt) >= MaxAge {
		return View{Pace: 1, StatedPace: 1}, false
	}
	return View{Load: e.Load, At: e.At, Pace: e.estimate.At(now), StatedPace: e.stated}, true
}

// Known reports whether the process has stated a pace within MaxAge.
func (t *Table) Known(now time.Time, p roster.Process) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[p]
	return e != nil && now.Sub(e.statedAt) < MaxAge
}

// Used records that a request was placed by the samples.
func (t *Table) Used(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.usedAt = now
}

// Report returns the samples that this gateway received in responses since its last report,
// and whether a report is due. An empty one asks for the samples of others.
func (t *Table) Report(now time.Time) (samples []Sample, due bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	samples = t.since(now, t.reported, func(e *entry) bool { return e.origin == t.node })
	recentlyUsed := !t.usedAt.IsZero() && now.Sub(t.usedAt) < MaxAge
	if len(samples) == 0 && (!recentlyUsed || now.Sub(t.reportedAt) < emptyReportInterval) {
		return nil, false
	}
	t.reported, t.reportedAt = t.number, now
	return samples, true
}

// Answer returns the samples that this gateway received itself or from others since its last
// answer to the peer. Without any, no answer is needed.
func (t *Table) Answer(now time.Time, peer string) []Sample {
	t.mu.Lock()
	defer t.mu.Unlock()
	last, answered := t.sent[peer]
	if answered && now.Sub(last.at) < minAnswerInterval {
		return nil
	}
	samples := t.since(now, last.number, func(e *entry) bool { return e.origin != "" && e.origin != peer })
	if len(samples) > 0 {
		t.sent[peer] = sent{number: t.number, at: now}
	}
	return samples
}

func (t *Table) since(now time.Time, number uint64, include func(e *entry) bool) []Sample {
	if t.number == number {
		return nil
	}
	var samples []Sample
	for _, e := range t.entries {
		if e.number > number && include(e) && now.Sub(e.At) < MaxAge {
			samples = append(samples, e.Sample)
		}
	}
	return samples
}

// PeerDown forgets what the peer was sent: it may be a new process when it returns.
func (t *Table) PeerDown(peer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.sent, peer)
}

// Expire drops the processes whose samples are too old.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for process, e := range t.entries {
		if now.Sub(e.statedAt) >= MaxAge {
			delete(t.entries, process)
		}
	}
}

// Shared returns the number of processes whose samples are exchanged and that have stated a
// pace recently, and of those whose stated pace is at least slow.
func (t *Table) Shared(slow float64) (known, slowCount int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		if !e.shared {
			continue
		}
		known++
		if e.stated >= slow {
			slowCount++
		}
	}
	return known, slowCount
}
