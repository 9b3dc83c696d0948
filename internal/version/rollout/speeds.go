package rollout

import (
	"time"

	"github.com/persimmonridge/persimmonridge/internal/version/evidence"
)

const (
	// measuredEvents is the number of events after the first one over which the pause between
	// events is measured. The shortest streams have about as many.
	measuredEvents = 3
	// longestMeasure is the time after which a run that has not got there counts as one that
	// takes at least as long. It says so before its caller gives up.
	longestMeasure = time.Second
	// maxSamples bounds the samples that a gateway keeps for the next scheduler.
	maxSamples = 256
	// resendTime is for how long a sample is in each report, in case one is lost.
	resendTime = 2 * time.Second
	// baselineInterval is the time between two reports of the old version's speeds.
	baselineInterval = time.Second
)

// NumberedSample is a sample with its number at its gateway.
type NumberedSample struct {
	evidence.Sample
	Number uint64
}

// Baseline holds the old version's measurements on a route since the process started.
type Baseline struct {
	Measure evidence.Measure
	Route   string
	Runs    evidence.Histogram
}

type speedKey struct {
	measure evidence.Measure
	route   string
}

type recordedSample struct {
	NumberedSample
	at time.Time
}

// speeds collects what one gateway measures of a move's runs. It is not safe for concurrent use.
type speeds struct {
	baselines map[speedKey]*evidence.Histogram
	samples   []recordedSample
	last      uint64
	// open holds the runs that are still measured.
	open map[*countedPlacement]struct{}

	// receiver got the last report, and the old version's speeds at baselinesAt.
	receiver    string
	baselinesAt time.Time
}

func newSpeeds() *speeds {
	return &speeds{baselines: make(map[speedKey]*evidence.Histogram), open: make(map[*countedPlacement]struct{})}
}

// observe records one measurement.
func (s *speeds) observe(now time.Time, target bool, sample evidence.Sample) {
	if !target {
		if sample.AtLeast && sample.Bucket < evidence.Bucket(longestMeasure) {
			// It would count as a fast run.
			return
		}
		key := speedKey{sample.Measure, sample.Route}
		if s.baselines[key] == nil {
			s.baselines[key] = &evidence.Histogram{}
		}
		s.baselines[key][sample.Bucket]++
		return
	}
	s.last++
	s.samples = append(s.samples, recordedSample{NumberedSample{sample, s.last}, now})
	if len(s.samples) > maxSamples {
		s.samples = s.samples[len(s.samples)-maxSamples:]
	}
}

// report returns what the receiver does not have yet, or may have lost.
func (s *speeds) report(now time.Time, receiver string) (samples []NumberedSample, baselines []Baseline) {
	for p := range s.open {
		p.measureWaiting(now)
	}
	isNew := receiver != s.receiver
	s.receiver = receiver
	for _, sample := range s.samples {
		if isNew || now.Sub(sample.at) < resendTime {
			samples = append(samples, sample.NumberedSample)
		}
	}
	if isNew || now.Sub(s.baselinesAt) >= baselineInterval {
		s.baselinesAt = now
		for key, runs := range s.baselines {
			baselines = append(baselines, Baseline{Measure: key.measure, Route: key.route, Runs: *runs})
		}
	}
	return samples, baselines
}
