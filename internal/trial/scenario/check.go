package scenario

import (
	"fmt"
)

// Judge returns what a result lacks of what the script expects; what must
// always hold is expected of every script.
func Judge(script Script, r *Result) []string {
	var faults []string
	fault := func(bad bool, format string, values ...any) {
		if bad {
			faults = append(faults, fmt.Sprintf(format, values...))
		}
	}
	want := script.Expect
	for _, breach := range r.Breaches {
		fault(true, "invariant %s broken by request %s: %s", breach.Name(), breach.RequestID(), breach.Detail())
	}
	fault(r.Report.DoubledActions > 0, "%d actions doubled", r.Report.DoubledActions)
	fault(len(r.Twice) > 0, "requests run twice on one engine: %v", r.Twice)
	fault(r.Report.WrongAnswers > 0, "%d answers looked whole and were not, or were another's", r.Report.WrongAnswers)
	fault(len(r.Untrue) > 0, "refused as not run, but ran: %v", r.Untrue)
	fault(len(r.BadTail) > 0, "not answered in time although nothing failed any more: %+v", r.BadTail)
	fault(r.Report.CutAnswers > want.CutMost, "%d answers cut, %d allowed", r.Report.CutAnswers, want.CutMost)
	mayHaveRun, notRun, unreached := 0, 0, 0
	for _, tier := range r.Report.Tiers {
		mayHaveRun, notRun, unreached = mayHaveRun+tier.MayHaveRun, notRun+tier.NotRun, unreached+tier.Unreached
		least, named := want.Goodput[tier.Name]
		fault(named && tier.Goodput < least, "goodput of %s is %.4f, at least %.4f expected", tier.Name, tier.Goodput, least)
	}
	fault(mayHaveRun > want.MayHaveRunMost, "%d told may-have-run, %d allowed", mayHaveRun, want.MayHaveRunMost)
	fault(want.NotRunMost >= 0 && notRun > want.NotRunMost, "%d refused as not run, %d allowed", notRun, want.NotRunMost)
	fault(unreached > want.UnreachedMost, "%d reached no entry, %d allowed", unreached, want.UnreachedMost)
	fault(r.Crashes > want.CrashesMost, "%d engines died, %d allowed", r.Crashes, want.CrashesMost)
	fault(r.Convicted > want.ConvictedInnocent, "%d innocent requests refused as crashers", r.Convicted)
	fault(want.Verdict != "" && r.Verdict != want.Verdict, "the move is %q (%s), %q expected", r.Verdict, r.Why, want.Verdict)
	share := float64(r.NewRuns) / float64(max(r.AllRuns, 1))
	fault(want.BadShareMax > 0 && share > want.BadShareMax, "the new version ran %.3f of all, %.3f allowed", share, want.BadShareMax)
	return faults
}
