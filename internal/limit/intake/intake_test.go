package intake_test

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/limit/intake"
)

const (
	sampleInterval = 100 * time.Millisecond
	// connsPerSample is how many connections ask in a sample at an offered load of 1, and
	// streamSamples how long what they ask for takes.
	connsPerSample = 10
	streamSamples  = 10
)

// play is a link with a limiter: connections that are taken load it for a second.
type play struct {
	t       *testing.T
	limiter *intake.Limiter
	now     time.Time
	others  bool
	kept    float64
	// taken holds the connections taken in the latest samples, and loads the load of each sample.
	taken  []int
	loads  []float64
	debt   float64
	closed int
	// lastTaken is when a connection was taken, and longestIdle the longest time without one.
	lastTaken   time.Time
	longestIdle time.Duration
}

func newPlay(t *testing.T) *play {
	now := time.Unix(1_000_000, 0)
	return &play{t: t, limiter: intake.New(), now: now, others: true, lastTaken: now}
}

// offer plays callers who would load the link by a multiple of its capacity if all were taken.
func (p *play) offer(load float64, during time.Duration) {
	for range int(during / sampleInterval) {
		p.debt += load * connsPerSample
		taken := 0
		for ; p.debt >= 1; p.debt-- {
			if !p.limiter.Take(p.now) {
				p.closed++
				continue
			}
			taken++
			p.longestIdle, p.lastTaken = max(p.longestIdle, p.now.Sub(p.lastTaken)), p.now
		}
		p.taken = append(p.taken, taken)
		running := 0
		for _, n := range p.taken[max(0, len(p.taken)-streamSamples):] {
			running += n
		}
		// A link carries no more than its capacity, whatever waits.
		p.loads = append(p.loads, min(1, p.kept+float64(running)/(connsPerSample*streamSamples)))
		p.now = p.now.Add(sampleInterval)
		p.limiter.Sampled(p.now, p.loads[len(p.loads)-1], p.others)
	}
}

// meanLoad returns the mean load of the latest samples.
func (p *play) meanLoad(over time.Duration) float64 {
	sum, n := 0.0, int(over/sampleInterval)
	for _, load := range p.loads[len(p.loads)-n:] {
		sum += load
	}
	return sum / float64(n)
}

func (p *play) step(words []string) {
	switch words[0] {
	case "offered":
		p.offer(p.number(words[1]), p.duration(words[3]))
	case "others":
		p.others = words[1] == "take"
	case "kept":
		p.kept = p.number(words[1])
	case "load":
		p.compare(words[1], p.meanLoad(p.duration(words[4])), p.number(words[2]))
	case "share":
		p.compare(words[1], p.limiter.Share(), p.number(words[2]))
	case "closed":
		p.compare(words[1], float64(p.closed), p.number(words[2]))
	case "idle":
		// A connection comes every tenth of a sample or more rarely.
		p.compare(words[1], p.longestIdle.Seconds(), (p.duration(words[2]) + sampleInterval).Seconds())
	default:
		require.Fail(p.t, "unknown step", "%v", words)
	}
}

func (p *play) compare(relation string, got, want float64) {
	if relation == "at-most" {
		require.LessOrEqual(p.t, got, want)
		return
	}
	require.GreaterOrEqual(p.t, got, want)
}

func (p *play) number(word string) float64 {
	n, err := strconv.ParseFloat(word, 64)
	require.NoError(p.t, err)
	return n
}

func (p *play) duration(word string) time.Duration {
	d, err := time.ParseDuration(word)
	require.NoError(p.t, err)
	return d
}

// Guards against callers who wait behind others on a full link while gateways with room take
// them, against sending callers elsewhere without need, and against a gateway that takes nobody.
func TestScriptedLoadsOfALink(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			script, err := os.ReadFile(file)
			require.NoError(t, err)
			p := newPlay(t)
			for line := range strings.Lines(string(script)) {
				if words := strings.Fields(line); len(words) > 0 && words[0] != "#" {
					p.step(words)
				}
			}
		})
	}
}

// Guards against a gateway that closes half of its new connections when it should close one in
// ten.
func TestShareOfConnectionsIsTaken(t *testing.T) {
	limiter, now := intake.New(), time.Unix(1_000_000, 0)
	for _, load := range []float64{0.65, 0.8, 1} {
		now = now.Add(time.Second)
		limiter.Sampled(now, load, true)
		taken := 0
		for range 1000 {
			if limiter.Take(now) {
				taken++
			}
		}
		require.InDelta(t, 1000*limiter.Share(), taken, 2, "load %v", load)
	}
}
