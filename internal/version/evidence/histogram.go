package evidence

import (
	"math"
	"time"
)

const (
	// bucketsPerOctave is the number of buckets in which a duration doubles.
	bucketsPerOctave = 4
	// HistogramBuckets is the number of buckets. The last one begins at half an hour.
	HistogramBuckets = 24 * bucketsPerOctave
	// shortestBucket is the upper bound of the first bucket.
	shortestBucket = 100 * time.Microsecond
)

// Histogram counts durations in buckets whose bounds grow by a quarter of an octave. The zero
// value is empty.
type Histogram [HistogramBuckets]uint32

// Bucket returns the bucket of a duration.
func Bucket(d time.Duration) int {
	if d <= shortestBucket {
		return 0
	}
	octaves := math.Log2(float64(d) / float64(shortestBucket))
	return min(1+int(bucketsPerOctave*octaves), HistogramBuckets-1)
}

// Total returns the number of durations.
func (h *Histogram) Total() uint64 {
	var total uint64
	for _, n := range h {
		total += uint64(n)
	}
	return total
}

// Since returns the counts since an earlier state of the same histogram. If it is none, as after
// a restart of the process that counts, all counts are new.
func (h *Histogram) Since(earlier *Histogram) Histogram {
	since := *h
	for i, n := range earlier {
		if n > h[i] {
			return *h
		}
		since[i] -= n
	}
	return since
}
