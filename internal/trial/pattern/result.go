package pattern

import "time"

// window is the span whose worst is told.
const window = 2 * time.Second

// Tier is what became of one tier's requests.
type Tier struct {
	Asked, InTime, Late, Refused, Lost int
	// Held is how long refused requests waited in vain, in all.
	Held time.Duration
	// LongAsked and LongServed are of the largest tenth by work.
	LongAsked, LongServed int
}

// InTimeShare returns the part that was in time.
func (t Tier) InTimeShare() float64 { return float64(t.InTime) / float64(max(1, t.Asked)) }

// Result is what became of a pattern's requests.
type Result struct {
	Pattern string
	Tiers   [3]Tier
	// Worth is the part of what all answers in time would be worth; Worst is
	// that of the worst two seconds.
	Worth, Worst float64
	// Windows are the parts of each two seconds.
	Windows []float64
}

func summarize(p Pattern, requests []*request) Result {
	result := Result{Pattern: p.Name, Worst: 1}
	earned, owed := make([]float64, p.Length/window+1), make([]float64, p.Length/window+1)
	longest := longestTenth(requests)
	for _, r := range requests {
		tier := &result.Tiers[r.class.tier]
		at := int(r.arrived.Sub(start) / window)
		worth, got := r.worth()
		owed[at] += worth
		earned[at] += got
		tier.Asked++
		tier.Held += r.held
		if longest[r] {
			tier.LongAsked++
			if r.served() {
				tier.LongServed++
			}
		}
		switch {
		case r.inTime():
			tier.InTime++
		case r.served():
			tier.Late++
		case r.lost:
			tier.Lost++
		default:
			tier.Refused++
		}
	}
	total, all := 0.0, 0.0
	for i := range owed {
		total, all = total+earned[i], all+owed[i]
		if owed[i] > 0 {
			result.Windows = append(result.Windows, earned[i]/owed[i])
			result.Worst = min(result.Worst, earned[i]/owed[i])
		}
	}
	result.Worth = total / all
	return result
}

// longestTenth finds the largest tenth of each class by prompt and output.
func longestTenth(requests []*request) map[*request]bool {
	longest := make(map[*request]bool)
	for i := range classes {
		var own []*request
		for _, r := range requests {
			if r.class == &classes[i] {
				own = append(own, r)
			}
		}
		for n := len(own) / 10; n > 0; n-- {
			var most *request
			for _, r := range own {
				if !longest[r] && (most == nil || r.prompt+10*r.output > most.prompt+10*most.output) {
					most = r
				}
			}
			longest[most] = true
		}
	}
	return longest
}

// Mean plays the pattern with each seed. Counts are summed, shares averaged.
func Mean(p Pattern, seeds []uint64, policy NewPolicy) Result {
	mean := Result{Pattern: p.Name}
	for _, seed := range seeds {
		one := Play(p, seed, policy)
		mean.Worth += one.Worth / float64(len(seeds))
		mean.Worst += one.Worst / float64(len(seeds))
		for i, tier := range one.Tiers {
			mean.Tiers[i].add(tier)
		}
	}
	return mean
}

func (t *Tier) add(other Tier) {
	t.Asked += other.Asked
	t.InTime += other.InTime
	t.Late += other.Late
	t.Refused += other.Refused
	t.Held += other.Held
	t.Lost += other.Lost
	t.LongAsked += other.LongAsked
	t.LongServed += other.LongServed
}
