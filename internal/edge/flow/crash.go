package flow

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

const (
	// crashRetryAfter is the Retry-After of requests that crash upstreams.
	crashRetryAfter = time.Minute
	// beginTime is the time from a stream's first event in which an upstream begins to
	// execute it. What it executes for longer does not crash it by a part of its prompt.
	beginTime = 500 * time.Millisecond
	// minSilence is how long nothing has come of an answer for the upstream to be suspected
	// of having crashed: callers who leave sooner may only be impatient.
	minSilence = 1500 * time.Millisecond
)

// computeFingerprint returns a hash that is equal for repeats of a request by the
// same caller.
func (c *call) computeFingerprint() uint64 {
	var hash xxhash.Digest
	hash.Reset()
	for _, part := range []string{c.request.Method, "\n", c.request.Host, "\n", c.request.Target, "\n", c.request.APIKey, "\n"} {
		_, _ = hash.WriteString(part) // Digest.WriteString never fails.
	}
	_, _ = hash.Write(c.request.Body)
	return hash.Sum64()
}

func (c *call) formatFingerprint() string { return strconv.FormatUint(c.fingerprint, 16) }

// maxLoggedParts is the number of parts of a prompt that a line names.
const maxLoggedParts = 8

// crashDetails returns the log attributes of what a request has in common with others that
// an upstream may have crashed with: its caller and the shared parts of its prompt.
func (c *call) crashDetails() []any {
	workspace := ""
	if c.workspace != nil {
		workspace = c.workspace.Name
	}
	var parts []string
	for _, part := range c.request.SharedParts[:min(len(c.request.SharedParts), maxLoggedParts)] {
		parts = append(parts, strconv.FormatUint(part, 16))
	}
	return []any{"fingerprint", c.formatFingerprint(), "workspace", workspace, "parts", parts}
}

func (c *call) crashKey() CrashKey {
	return CrashKey{Fingerprint: c.fingerprint, Parts: c.request.SharedParts}
}

// crashesUpstreams reports whether the request must not be sent, because it crashes the
// upstreams that execute it.
func (c *call) crashesUpstreams() bool { return c.Crashes.Blocked(c.Now(), c.crashKey()) }

// hasLasted reports whether the last attempt's upstream has executed the request for a while.
func (c *call) hasLasted(now time.Time) bool {
	return c.events > 0 && now.Sub(c.firstEventAt) >= beginTime
}

// recordSurvival records once that the last attempt's upstream has executed the request for a
// while.
func (c *call) recordSurvival(now time.Time) {
	if c.survived || !c.hasLasted(now) {
		return
	}
	c.survived = true
	c.Crashes.Survived(now, c.crashKey())
}

// recordSilence records a request that was canceled before anything came of its answer.
func (c *call) recordSilence(upstream roster.Upstream) {
	if now := c.Now(); c.events == 0 && now.Sub(c.sentAt) >= minSilence {
		c.Crashes.Unanswered(now, upstream, c.crashKey())
	}
}

// endCrashing ends a request that crashes upstreams. It is refused as not executed only
// if it was not sent before that was known.
func (c *call) endCrashing() {
	const reason = "the request crashes upstreams"
	c.logger = c.logger.With("fingerprint", c.formatFingerprint())
	if c.mayHaveExecuted || c.progress.opened {
		c.giveUp(reason)
		return
	}
	c.refuse(http.StatusServiceUnavailable, crashRetryAfter, reason)
}

// pick obtains a placement. It ends without one as soon as the request is known to crash
// upstreams.
func (c *call) pick(ctx context.Context, now time.Time, req PlacementRequest) (Placement, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer c.Crashes.WhenBlocked(c.crashKey(), cancel)()
	return c.Picker.Pick(ctx, now, req)
}

// recordServed records that an upstream has served the request, unless the end of the
// answer may be that of its upstream.
func (c *call) recordServed(answer *exchange.Answer) {
	if !answer.EndsWithConnection() {
		c.Crashes.Served(c.Now(), c.crashKey())
	}
}
