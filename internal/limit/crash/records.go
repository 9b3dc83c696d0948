package crash

import (
	"slices"
	"time"
)

const (
	// hopAllowance is taken off the life of a crash for each process that passed it on,
	// in place of the time that the report was on its way: clocks of two VMs differ, so
	// that time is not measured. A write to a peer takes at most a second.
	hopAllowance = time.Second
	// maxHops is the number of hops after which nothing is left of a crash's life.
	maxHops = uint32(retention / hopAllowance)
	// recognition is how long after its last report a crash is recognized, so that a
	// peer that repeats it does not make it count again. It exceeds the time that a
	// message can be on its way, a process that is paused meanwhile included.
	recognition = 10 * time.Minute
	// maxRecords bounds the crashes that are remembered or recognized.
	maxRecords = 8192
	// maxUpstreamLength bounds the name of an upstream in a report; names are parts of
	// keys of the store, which are shorter.
	maxUpstreamLength = 256
	// maxReports bounds the crashes in one gossip message.
	maxReports = 128
	// maxParts bounds the parts of a prompt in a report.
	maxParts = 64
)

// Report is what one process tells another of a crash.
type Report struct {
	Fingerprint uint64
	Upstream    string
	// Event distinguishes crashes of one upstream by one fingerprint; it is 0 if a
	// process of an older version observed or relayed the crash.
	Event uint64
	// Life is how long the crash would still be remembered if its reports took no time;
	// it is 0 if a process of an older version sent the report.
	Life time.Duration
	// Hops is the number of processes that have passed the crash on.
	Hops uint32
	// Parts are the parts of the request's prompt that no upstream has served since.
	Parts []uint64
}

// record is a crash that is remembered or, after its end, only recognized.
type record struct {
	upstream string
	event    uint64
	// latestEnd is when the crash is forgotten if its reports took no time to arrive.
	// Each report overstates it by the time that it was on its way, so the earliest is
	// kept; hops likewise is the least of all reports. Thus the order and the number of
	// reports do not matter.
	latestEnd  time.Time
	hops       uint32
	reportedAt time.Time
	// parts are the parts of the request's prompt besides its own, if the upstream had just
	// begun to execute it.
	parts []uint64
}

// crashedAt returns when the upstream crashed, or up to the time that reports were on their
// way later.
func (r *record) crashedAt() time.Time { return r.latestEnd.Add(-retention) }

// end returns when the crash is forgotten.
func (r *record) end() time.Time {
	return r.latestEnd.Add(-time.Duration(min(r.hops, maxHops)) * hopAllowance)
}

// keptUntil orders records: those in force are kept longest, then those that peers
// reported last.
func (r *record) keptUntil() time.Time {
	if end := r.end(); end.After(r.reportedAt) {
		return end
	}
	return r.reportedAt
}

// reported identifies a crash that this process reports to peers.
type reported struct {
	fingerprint, event uint64
	upstream           string
}

// RecordRemote records a crash that another process reported, and reports whether it is
// new. If relay is set, a new one is among this process's own reports from then on.
func (t *Tracker) RecordRemote(now time.Time, report Report, relay bool) bool {
	if len(report.Upstream) > maxUpstreamLength {
		return false
	}
	isNew := t.recordRemote(now, report, relay)
	t.notify(false)
	return isNew
}

func (t *Tracker) recordRemote(now time.Time, report Report, relay bool) (isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	life := min(report.Life, retention)
	if life <= 0 {
		life = retention
	}
	received := &record{
		upstream: report.Upstream, event: report.Event, latestEnd: now.Add(life), hops: min(report.Hops, maxHops) + 1,
		reportedAt: now, parts: report.Parts[:min(len(report.Parts), maxParts)],
	}
	if known := t.find(report.Fingerprint, report.Upstream, report.Event); known != nil {
		known.reportedAt = now
		known.hops = min(known.hops, received.hops)
		if received.latestEnd.Before(known.latestEnd) {
			known.latestEnd = received.latestEnd
		}
		return false
	}
	if report.Event == 0 && slices.ContainsFunc(t.crashes[report.Fingerprint], func(r *record) bool { return r.upstream == report.Upstream }) {
		// It may be the known crash, on its way through a process of an older version.
		received.latestEnd = now
	}
	isNew = now.Before(received.end())
	t.insert(now, report.Fingerprint, received)
	if !isNew {
		return false
	}
	if relay {
		t.addReport(report.Fingerprint, received)
	}
	t.blockLocked(now, report.Fingerprint)
	t.recordPartsLocked(now, received)
	return true
}

// Reports returns the crashes to tell peers, in the order in which they became known.
func (t *Tracker) Reports(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports []Report
	t.reported = slices.DeleteFunc(t.reported, func(id reported) bool {
		r := t.find(id.fingerprint, id.upstream, id.event)
		// A peer would forget at once what has less than hopAllowance left.
		if r == nil || r.end().Sub(now) <= hopAllowance {
			return true
		}
		report := Report{Fingerprint: id.fingerprint, Upstream: id.upstream, Event: id.event, Life: r.latestEnd.Sub(now), Hops: r.hops}
		for _, part := range r.parts {
			if t.countsAgainst(now, r, part) {
				report.Parts = append(report.Parts, part)
			}
		}
		reports = append(reports, report)
		return false
	})
	return reports
}

func (t *Tracker) find(fingerprint uint64, upstream string, event uint64) *record {
	for _, r := range t.crashes[fingerprint] {
		if r.event == event && r.upstream == upstream {
			return r
		}
	}
	return nil
}

// insert adds a record that is not known.
func (t *Tracker) insert(now time.Time, fingerprint uint64, added *record) {
	if t.recordCount >= maxRecords {
		t.evict()
	}
	if added.event != 0 {
		// What was recorded without an event may be this crash at a wrong age.
		if anonymous := t.find(fingerprint, added.upstream, 0); anonymous != nil && now.Before(anonymous.latestEnd) {
			anonymous.latestEnd = now
		}
	}
	t.crashes[fingerprint] = append(t.crashes[fingerprint], added)
	t.recordCount++
}

// reportObserved adds a crash that this process observed to its reports. Requests that the
// upstream had executed for a while, which are most, are reported from the second crash on.
func (t *Tracker) reportObserved(s suspectedRequest) {
	if s.lasted && len(t.crashes[s.fingerprint]) == 1 {
		return
	}
	for _, known := range t.crashes[s.fingerprint] {
		if known.hops == 0 && !slices.Contains(t.reported, reported{fingerprint: s.fingerprint, event: known.event, upstream: known.upstream}) {
			t.addReport(s.fingerprint, known)
		}
	}
}

// addReport adds the crash to this process's reports. The earliest one that is evidence
// against nothing yet makes room, or else the earliest: most of what an upstream was
// executing when it crashed did not cause it.
func (t *Tracker) addReport(fingerprint uint64, r *record) {
	if len(t.reported) >= maxReports {
		earliest := max(0, slices.IndexFunc(t.reported, func(id reported) bool { return !t.isEvidence(id) }))
		t.reported = slices.Delete(t.reported, earliest, earliest+1)
	}
	t.reported = append(t.reported, reported{fingerprint: fingerprint, event: r.event, upstream: r.upstream})
}

// isEvidence reports whether the crash has its fingerprint or a refused part in common with
// another one.
func (t *Tracker) isEvidence(id reported) bool {
	if len(t.crashes[id.fingerprint]) > 1 {
		return true
	}
	r := t.find(id.fingerprint, id.upstream, id.event)
	return r != nil && slices.ContainsFunc(r.parts, func(part uint64) bool { return t.partBlocks[part] != nil })
}

// evict removes a quarter of the records, so that a full table is sorted rarely.
func (t *Tracker) evict() {
	var all []*record
	for _, records := range t.crashes {
		all = append(all, records...)
	}
	slices.SortFunc(all, func(x, y *record) int { return x.keptUntil().Compare(y.keptUntil()) })
	evicted := make(map[*record]bool)
	for _, r := range all[:len(all)/4] {
		evicted[r] = true
	}
	t.deleteRecords(func(r *record) bool { return evicted[r] })
}

// deleteRecords removes the records for which remove returns true.
func (t *Tracker) deleteRecords(remove func(*record) bool) {
	t.recordCount = 0
	for fingerprint, records := range t.crashes {
		records = slices.DeleteFunc(records, remove)
		t.recordCount += len(records)
		if len(records) == 0 {
			delete(t.crashes, fingerprint)
			continue
		}
		t.crashes[fingerprint] = records
	}
}
