package local

import "time"

const (
	// peakBuckets of peakStep are how long a peak is remembered. Streams mostly last for less,
	// so that it covers all slots in use, and the scheduler is replaced within a few seconds.
	peakBuckets = 10
	peakStep    = time.Second
)

// peak is the highest of a number's recent values.
type peak struct {
	highest [peakBuckets]int
	latest  int
	// step is the number of the newest bucket.
	step int64
}

// record sets the number.
func (p *peak) record(now time.Time, n int) {
	p.advance(now)
	p.latest = n
	newest := &p.highest[p.step%peakBuckets]
	*newest = max(*newest, n)
}

// recent returns the highest value.
func (p *peak) recent(now time.Time) int {
	p.advance(now)
	highest := 0
	for _, n := range p.highest {
		highest = max(highest, n)
	}
	return highest
}

// advance fills the buckets since the newest one with the latest value.
func (p *peak) advance(now time.Time) {
	step := now.UnixNano() / int64(peakStep)
	for i := max(p.step+1, step-peakBuckets+1); i <= step; i++ {
		p.highest[i%peakBuckets] = p.latest
	}
	p.step = max(p.step, step)
}
