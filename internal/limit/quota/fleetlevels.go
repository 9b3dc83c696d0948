package quota

import (
	"time"

	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
)

const (
	// ledgerPause is the time without reports after which a ledger resumes: another gateway
	// may have been the scheduler meanwhile.
	ledgerPause = time.Second
	// learnTime is how long a ledger that resumes takes over levels from gateways that
	// turned to it from another one. All report within it.
	learnTime = time.Second
)

// fleetLevel is the level of a workspace's bucket in the whole fleet.
type fleetLevel struct {
	level      float64
	refilledAt time.Time
	// learnedAt is when a level was last taken over.
	learnedAt time.Time
}

// fleetLevels holds the buckets of the whole fleet at a ledger, which tells them to gateways
// that begin to serve a workspace.
type fleetLevels struct {
	options    Options
	workspaces map[string]catalog.Workspace
	levels     map[string]*fleetLevel
	// resumedAt is when reports began, the last of them at reportedAt, and fresh reports
	// that the gateways had just started.
	resumedAt, reportedAt time.Time
	fresh                 bool
}

func newFleetLevels() fleetLevels {
	return fleetLevels{workspaces: make(map[string]catalog.Workspace), levels: make(map[string]*fleetLevel)}
}

// SetOptions changes the deployment's settings for quotas.
func (l *Ledger) SetOptions(options Options) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.levels.options = options
}

// SetWorkspaces sets the workspaces whose levels the ledger keeps.
func (l *Ledger) SetWorkspaces(workspaces []catalog.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.levels.workspaces = make(map[string]catalog.Workspace, len(workspaces))
	for i := range workspaces {
		if workspaces[i].QuotaPerSecond > 0 {
			l.levels.workspaces[workspaces[i].Name] = workspaces[i]
		}
	}
}

// resume records a report. The ledger resumes if there was none for a while; its levels were
// refilled meanwhile, and what was used is in the reports. Age is how long the process of the
// gateway that reports has run.
func (f *fleetLevels) resume(now time.Time, age time.Duration) {
	if now.Sub(f.reportedAt) > ledgerPause {
		f.resumedAt, f.fresh = now, true
	}
	f.fresh = f.fresh && age <= justStartedAge
	f.reportedAt = now
}

// bucket returns the refilled bucket of a workspace, or nil if there is no such workspace.
// What is not known to have been used since the ledger resumed is there.
func (f *fleetLevels) bucket(now time.Time, name string) *fleetLevel {
	w, known := f.workspaces[name]
	if !known {
		return nil
	}
	b := f.levels[name]
	if b == nil {
		b = &fleetLevel{level: w.QuotaBurst, refilledAt: f.resumedAt}
		if f.fresh && !f.options.StartFull {
			b.level = f.options.restartLevel(&w)
		}
		f.levels[name] = b
	}
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.level = min(w.QuotaBurst, b.level+w.QuotaPerSecond*elapsed.Seconds())
		b.refilledAt = now
	}
	return b
}

func (f *fleetLevels) charge(now time.Time, name string, used float64) {
	if used == 0 {
		return
	}
	if b := f.bucket(now, name); b != nil {
		b.level -= used
	}
}

// learn takes over the levels that a gateway knows from another ledger: the lowest of those
// that are told since this one resumed.
func (f *fleetLevels) learn(now time.Time, levels map[string]float64) {
	if now.Sub(f.resumedAt) > learnTime {
		return
	}
	for name, level := range levels {
		if b := f.bucket(now, name); b != nil {
			if b.learnedAt.Before(f.resumedAt) {
				b.level = level
			}
			b.level, b.learnedAt = min(b.level, level), now
		}
	}
}

// at returns the level of a workspace. While few gateways report, the others may be using
// their part of it.
func (f *fleetLevels) at(now time.Time, name string, coverage float64) (float64, bool) {
	b := f.bucket(now, name)
	if b == nil {
		return 0, false
	}
	if coverage < startupCoverage && b.level > 0 {
		return b.level * coverage, true
	}
	return b.level, true
}
