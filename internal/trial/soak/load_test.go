package soak_test

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// hardLoadFromSeed is the first seed with uneven pace, several workspaces and slow readers.
	hardLoadFromSeed = 50000
	// workspaces is the number of workspaces, workspaceRate the quota of each in tokens per
	// second. A stream costs 360 tokens and a surge asks for less than 200,000 a second.
	workspaces    = 4
	workspaceRate = 2_000_000
	surgeCallers  = 12
	// slowTimeout is the timeout of the route of slow streams. Their callers wait for two
	// seconds longer, so that the gateway's refusal at the timeout reaches them.
	slowTimeout = 8 * time.Second
	// unreadTimeout is the time after which upstreams cut off a slow stream that is unread.
	unreadTimeout = time.Second
	// slowReadBuffer is small, so that unread data stays in the gateway.
	slowReadBuffer = 16 << 10
)

// slowPadding is in each event of a slow stream. All 20 exceed the socket buffers between
// an upstream and a caller, each a few megabytes; an event may have at most 1 MiB.
var slowPadding = strings.Repeat(".", 900_000)

var slowStream = kind{name: "slow", method: http.MethodPost, path: "/slow/x", stream: true}

func (tb *testbed) hardLoad() bool { return tb.plays(hardLoadFromSeed) }

// apiKey returns the key of a caller, whose workspace is chosen by its number.
func (tb *testbed) apiKey(number int) string {
	if !tb.hardLoad() || number%workspaces == 0 {
		return "key"
	}
	return fmt.Sprintf("key-%d", number%workspaces)
}

// workspaceDocument returns the workspaces of the configuration.
func (tb *testbed) workspaceDocument() string {
	if !tb.hardLoad() {
		return `{"name":"studio","apiKeys":["key"]}`
	}
	var documents []string
	for i := range workspaces {
		documents = append(documents, fmt.Sprintf(`{"name":"studio-%d","apiKeys":[%q],"unit":"token_stream","plainTokens":20,"ratePerS":%d,"burst":%[3]d}`, i, tb.apiKey(i), workspaceRate))
	}
	return strings.Join(documents, ",")
}

// pace returns how many times as long as usual work takes at the upstream at this moment,
// and the value that it states. Some upstreams state none, and one in ten values is absurd.
func (u *upstream) pace() (factor float64, stated string) {
	if !u.uneven {
		return 1, ""
	}
	address := u.relay.Addr()
	hash := xxhash.Sum64String(fmt.Sprint(address, time.Now().UnixMilli()/200))
	factor = []float64{0.7, 0.9, 1, 1, 1, 1.2, 2.5, 4}[hash%8]
	if xxhash.Sum64String(address)%4 == 0 {
		return factor, ""
	}
	if absurd := []string{"0", "-250", "NaN", "1e300", "99999999999999999999", "x", "", "9"}; hash>>8%10 == 0 {
		return factor, "," + absurd[hash>>16%uint64(len(absurd))]
	}
	return factor, fmt.Sprintf(",%d", int(100*factor))
}

// surge has callers of one workspace ask for much more than usual for some seconds, again
// and again until the faults end.
func (tb *testbed) surge() {
	random := rand.New(rand.NewPCG(tb.seed, 0x7375726765))
	for round := 0; time.Now().Before(tb.faultsEndAt); round++ {
		<-time.After(randomDuration(random, 500*time.Millisecond, 3*time.Second))
		workspace, end := random.IntN(workspaces), time.Now().Add(randomDuration(random, 2*time.Second, 5*time.Second))
		var running sync.WaitGroup
		for i := range surgeCallers {
			c := newCaller(tb, 10_000+(round*surgeCallers+i)*workspaces+workspace)
			running.Go(func() {
				defer c.closeConnection()
				for time.Now().Before(end) {
					c.converge()
					k := kinds[c.random.IntN(len(kinds))]
					tb.recordCall(c.call(k, k.path))
					<-time.After(randomDuration(c.random, 10*time.Millisecond, 40*time.Millisecond))
				}
			})
		}
		running.Wait()
	}
}

// runSlow reads slow streams until the testbed stops its callers.
func (c *caller) runSlow() {
	defer c.closeConnection()
	for !c.testbed.stopping() {
		c.testbed.recordCall(c.call(slowStream, slowStream.path))
		<-time.After(randomDuration(c.random, 50*time.Millisecond, 500*time.Millisecond))
	}
}

// readBody reads an answer. Readers of slow streams pause once, early in the stream. The
// padding of events that arrived whole is dropped, so that they compare like any others.
func (c *caller) readBody(k kind, body io.Reader) (string, error) {
	var read strings.Builder
	if c.readsSlowly() {
		body = slowReader{body}
	}
	if k == slowStream {
		_, err := io.CopyN(&read, body, c.random.Int64N(2_000_000))
		if err != nil && !errors.Is(err, io.EOF) {
			// A connection tells only once that it was reset, and then ends.
			return strings.ReplaceAll(read.String(), slowPadding, ""), err
		}
		if err == nil {
			<-time.After(randomDuration(c.random, time.Second, 3*time.Second))
		}
	}
	_, err := io.Copy(&read, body)
	return strings.ReplaceAll(read.String(), slowPadding, ""), err
}

// limitUnread cuts off a slow stream whose next event stays unread.
func limitUnread(w http.ResponseWriter, r *http.Request) (padding string) {
	if r.URL.Path != slowStream.path {
		return ""
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(unreadTimeout))
	return slowPadding
}

// timeout returns how long a caller waits for the end of an answer.
func (k kind) timeout() time.Duration {
	if k == slowStream {
		return slowTimeout + 2*time.Second
	}
	return callerTimeout
}

// checkQuota checks that no request of a workspace below its quota is answered 429.
func (tb *testbed) checkQuota(c call) {
	if tb.hardLoad() && c.status == http.StatusTooManyRequests {
		tb.reportCall(c, "was answered 429 although its workspace is below its quota: %q", c.body)
	}
}

// checkSlow checks that a slow reader got its stream whole. Only what hit its gateway or its
// upstream during the stream excuses another end: a kill, a pause, a disturbed link, the end
// of the upstream, and a stop that began before the stream, whose reader may pause for longer
// than what is left of the grace period.
func (tb *testbed) checkSlow(c call) {
	if c.err == nil || c.notConnected || tb.metClosedConnection(c) || tb.endedWithUpstream(c) || tb.processes[c.gateway].disruptions.overlaps(c.sent, c.ended) {
		return
	}
	for _, u := range tb.requestLog.receiversOf(c.id) {
		if u.disruptions.overlaps(c.sent, c.ended) {
			return
		}
	}
	for _, f := range tb.faults {
		during := f.from.Before(c.ended) && (f.until.IsZero() || f.until.After(c.sent)) && slices.Contains([]string{"kill", "herd", "freeze", "upstream-link"}, f.name)
		stopping := f.name == "stop" && f.from.Before(c.sent) && f.from.Add(2*stopGrace).After(c.sent)
		if (f.gateway == allGateways || f.gateway == c.gateway) && (during || stopping) {
			return
		}
	}
	tb.reportCall(c, "did not get its stream whole after %s: %v; status %d, %d bytes without padding, executions %v", c.ended.Sub(c.sent), c.err, c.status, len(c.body), tb.requestLog.executionsOf(c.id))
}
