package gateway

import (
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/version/evidence"
	"github.com/persimmonridge/persimmonridge/internal/version/rollout"
)

// encodeReport returns the message that tells the scheduler what this process observed.
func encodeReport(service string, run uint64, report rollout.Report) *wire.MoveReport {
	message := &wire.MoveReport{Service: service, Order: report.Order, Run: run}
	for _, e := range report.Entries {
		message.Entries = append(message.Entries, &wire.MoveEntry{
			Target: e.Target, Route: e.Route, Runs: e.Runs, Failures: e.Failures, Buckets: e.Buckets,
		})
	}
	for _, s := range report.Samples {
		message.Samples = append(message.Samples, &wire.MoveSample{
			Number: s.Number, Measure: uint32(s.Measure), Route: s.Route, Upstream: s.Upstream, Bucket: uint32(s.Bucket), AtLeast: s.AtLeast,
		})
	}
	for _, b := range report.Baselines {
		first, last := 0, len(b.Runs)
		for first < last && b.Runs[first] == 0 {
			first++
		}
		for last > first && b.Runs[last-1] == 0 {
			last--
		}
		message.Baselines = append(message.Baselines, &wire.MoveBaseline{
			Measure: uint32(b.Measure), Route: b.Route, FirstBucket: uint32(first), Runs: b.Runs[first:last],
		})
	}
	return message
}

// decodeReport returns the report in a message. Measures that are not known here are left out.
func decodeReport(message *wire.MoveReport) rollout.Report {
	report := rollout.Report{Order: message.Order, Run: message.Run}
	for _, e := range message.Entries {
		report.Entries = append(report.Entries, rollout.Entry{
			Target: e.Target, Route: e.Route, Runs: e.Runs, Failures: e.Failures, Buckets: e.Buckets,
		})
	}
	for _, s := range message.Samples {
		if s.Measure > uint32(evidence.EventPause) {
			continue
		}
		report.Samples = append(report.Samples, rollout.NumberedSample{Number: s.Number, Sample: evidence.Sample{
			Measure: evidence.Measure(s.Measure), Route: s.Route, Upstream: s.Upstream,
			Bucket: int(min(s.Bucket, evidence.HistogramBuckets-1)), AtLeast: s.AtLeast,
		}})
	}
	for _, b := range message.Baselines {
		if b.Measure > uint32(evidence.EventPause) || b.FirstBucket >= evidence.HistogramBuckets {
			continue
		}
		baseline := rollout.Baseline{Measure: evidence.Measure(b.Measure), Route: b.Route}
		copy(baseline.Runs[b.FirstBucket:], b.Runs)
		report.Baselines = append(report.Baselines, baseline)
	}
	return report
}
