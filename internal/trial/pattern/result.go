package pattern

import "time"

// windowLength is the length of the windows whose value is reported separately.
const windowLength = 2 * time.Second

// TierResult counts the outcomes of one tier's requests.
type TierResult struct {
	Requests, InTime, Late, Refused, Lost int
	// WaitBeforeRefusal is the total time that requests waited for a slot before they were
	// refused.
	WaitBeforeRefusal time.Duration
	// Remote counts the requests that ran in another failure domain than their gateway's.
	Remote int
	// LargeRequests and LargeServed count the largest tenth by tokens.
	LargeRequests, LargeServed int
}

// InTimeShare returns the share of the requests that were answered in time.
func (t TierResult) InTimeShare() float64 { return float64(t.InTime) / float64(max(1, t.Requests)) }

// Result summarizes the requests of a simulation.
type Result struct {
	Pattern string
	Tiers   [3]TierResult
	// ValueShare is the earned value as a share of what would be earned if all
	// requests were answered in time; WorstWindowShare is the share of the worst window.
	ValueShare, WorstWindowShare float64
	// WindowShares are the shares of the windows, in order of time.
	WindowShares []float64
}

func summarize(p Pattern, requests []*request) Result {
	result := Result{Pattern: p.Name, WorstWindowShare: 1}
	earned, possible := make([]float64, p.Duration/windowLength+1), make([]float64, p.Duration/windowLength+1)
	largest := largestTenth(requests)
	for _, r := range requests {
		tier := &result.Tiers[r.class.tier]
		index := int(r.arrivedAt.Sub(startTime) / windowLength)
		value, earnedValue := r.value()
		possible[index] += value
		earned[index] += earnedValue
		tier.Requests++
		tier.WaitBeforeRefusal += r.waitBeforeRefusal
		if r.remote && r.served() {
			tier.Remote++
		}
		if largest[r] {
			tier.LargeRequests++
			if r.served() {
				tier.LargeServed++
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
	totalEarned, totalPossible := 0.0, 0.0
	for i := range possible {
		totalEarned, totalPossible = totalEarned+earned[i], totalPossible+possible[i]
		if possible[i] > 0 {
			result.WindowShares = append(result.WindowShares, earned[i]/possible[i])
			result.WorstWindowShare = min(result.WorstWindowShare, earned[i]/possible[i])
		}
	}
	result.ValueShare = totalEarned / totalPossible
	return result
}

// largestTenth returns the largest tenth of each class by prompt and output
// size.
func largestTenth(requests []*request) map[*request]bool {
	largest := make(map[*request]bool)
	for i := range classes {
		var ofClass []*request
		for _, r := range requests {
			if r.class == &classes[i] {
				ofClass = append(ofClass, r)
			}
		}
		for n := len(ofClass) / 10; n > 0; n-- {
			var next *request
			for _, r := range ofClass {
				if !largest[r] && (next == nil || r.prompt+10*r.output > next.prompt+10*next.output) {
					next = r
				}
			}
			largest[next] = true
		}
	}
	return largest
}

// Mean simulates the pattern with each seed. Counts are summed, shares averaged.
func Mean(p Pattern, seeds []uint64, policy PolicyFactory) Result {
	mean := Result{Pattern: p.Name}
	for _, seed := range seeds {
		result := Simulate(p, seed, policy)
		mean.ValueShare += result.ValueShare / float64(len(seeds))
		mean.WorstWindowShare += result.WorstWindowShare / float64(len(seeds))
		for i, tier := range result.Tiers {
			mean.Tiers[i].add(tier)
		}
	}
	return mean
}

func (t *TierResult) add(other TierResult) {
	t.Requests += other.Requests
	t.InTime += other.InTime
	t.Late += other.Late
	t.Refused += other.Refused
	t.Remote += other.Remote
	t.WaitBeforeRefusal += other.WaitBeforeRefusal
	t.Lost += other.Lost
	t.LargeRequests += other.LargeRequests
	t.LargeServed += other.LargeServed
}
