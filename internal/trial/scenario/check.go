package scenario

import (
	"fmt"

	"github.com/persimmonridge/persimmonridge/internal/trial/load"
)

// Check returns the expectations that a result does not meet: those of the script,
// and those that hold for every script.
func Check(script Script, r *Result) []string {
	var failures []string
	addFailure := func(failed bool, format string, values ...any) {
		if failed {
			failures = append(failures, fmt.Sprintf(format, values...))
		}
	}
	expected := script.Expect
	for _, breach := range r.Breaches {
		addFailure(true, "invariant %s broken by request %s: %s", breach.Name(), breach.RequestID(), breach.Detail())
	}
	addFailure(r.Report.DoubledActions > 0, "%d actions doubled", r.Report.DoubledActions)
	addFailure(r.Repeats.Exceeds(), "engines got %d repeats of %d requests in %s, %.1f are allowed", r.Repeats.Repeats, r.Repeats.Requests, repeatWindow, r.Repeats.Allowed)
	addFailure(len(r.RunTwice) > 0, "requests run twice on one engine: %v", r.RunTwice)
	for _, s := range r.Samples {
		addFailure(s.Outcome == load.Wrong, "wrong answer to request %s of %s sent after %s: %s", s.RequestID, s.Action, s.SentAfter, s.Fault)
	}
	addFailure(r.Report.WrongAnswers > 0, "%d answers ended without error but were incomplete or another request's", r.Report.WrongAnswers)
	addFailure(len(r.FalselyNotRun) > 0, "refused as not run, but ran: %v", r.FalselyNotRun)
	addFailure(len(r.TailFailures) > 0, "not answered in time after the last failure: %+v", r.TailFailures)
	addFailure(r.Report.CutAnswers > expected.MaxCut, "%d answers cut, %d allowed", r.Report.CutAnswers, expected.MaxCut)
	mayHaveRun, notRun, unreached := 0, 0, 0
	for _, tier := range r.Report.Tiers {
		mayHaveRun, notRun, unreached = mayHaveRun+tier.MayHaveRun, notRun+tier.NotRun, unreached+tier.Unreached
		minimum, isExpected := expected.Goodput[tier.Name]
		addFailure(isExpected && tier.Goodput < minimum, "goodput of %s is %.4f, expected at least %.4f", tier.Name, tier.Goodput, minimum)
	}
	addFailure(mayHaveRun > expected.MaxMayHaveRun, "%d answered with may-have-run, %d allowed", mayHaveRun, expected.MaxMayHaveRun)
	addFailure(expected.MaxNotRun >= 0 && notRun > expected.MaxNotRun, "%d refused as not run, %d allowed", notRun, expected.MaxNotRun)
	addFailure(unreached > expected.MaxUnreached, "%d reached no entry, %d allowed", unreached, expected.MaxUnreached)
	addFailure(r.Crashes > expected.MaxCrashes, "%d engine crashes, %d allowed", r.Crashes, expected.MaxCrashes)
	addFailure(r.Convicted > expected.MaxInnocentConvicted, "%d requests wrongly refused as crashing upstreams", r.Convicted)
	addFailure(expected.Verdict != "" && r.Verdict != expected.Verdict, "the move ended as %q (%s), expected %q", r.Verdict, r.VerdictReason, expected.Verdict)
	share := float64(r.NewVersionRuns) / float64(max(r.TotalRuns, 1))
	addFailure(expected.MaxNewVersionShare > 0 && share > expected.MaxNewVersionShare, "the new version ran a share of %.3f of all runs, %.3f allowed", share, expected.MaxNewVersionShare)
	return failures
}
