package flow

import (
	"context"
	"sync"

	"github.com/joomcode/errorx"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

// attempt makes one attempt. For any outcome other than Answered, the caller has not
// been answered yet, unless part of a stream was delivered.
func (c *call) attempt(ctx context.Context, placement Placement) Outcome {
	c.sentAt, c.events, c.longestGap, c.survived = c.Now(), 0, 0, false
	if observer, ok := placement.(RunObserver); ok {
		observer.RunBegan(c.sentAt)
	}
	upstream := placement.Upstream()
	c.upstream, c.firstEvent = upstream.ID, 0
	c.endSilence = sync.OnceFunc(c.Crashes.Sent(c.sentAt, upstream, c.crashKey()))
	defer c.endSilence()
	answer, err := c.send(ctx, upstream, false)
	if c.maySendOnNewConnection(ctx, err) {
		c.logger.Info("kept connection to upstream was closed, sending on a new one", "upstream", upstream.ID, "err", err)
		c.mayHaveExecuted = true
		answer, err = c.send(ctx, upstream, true)
		if errorx.IsOfType(err, exchange.NotSent) {
			return c.handleUpstreamGone(ctx, upstream, err)
		}
	}
	if err != nil {
		return c.handleNoAnswer(ctx, placement, err)
	}
	c.attempts++
	c.recordStatements(upstream, answer)
	if answer.Load != nil {
		placement.ReportLoad(c.Now(), *answer.Load)
	}
	if answer.NotExecuted {
		c.logger.Info("upstream declined the request", "upstream", upstream.ID, "status", answer.Status, "rest", answer.RetryAfter)
		answer.Close(false)
		if answer.Misdirected {
			return Misdirected
		}
		return Declined
	}
	c.mayHaveExecuted = true
	if !answer.Sealed {
		c.logger.Warn("answer without a response seal", "upstream", upstream.ID, "status", answer.Status)
		answer.Close(false)
		return Interrupted
	}
	return c.deliver(ctx, placement, answer)
}

// recordStatements tells the guard what the upstream states of itself. An answer without the
// request's ID may be bytes of a faulty upstream, and a misdirected request was answered by
// another one.
func (c *call) recordStatements(upstream roster.Upstream, answer *exchange.Answer) {
	if c.Guard == nil || answer.Misdirected || !answer.Echoed {
		return
	}
	c.Guard.AnswerReceived(c.Now(), upstream, c.sentAt, answer)
	if answer.Leaving {
		c.logger.Info("upstream says that it leaves", "upstream", upstream.ID, "born", upstream.StartedAtMs, "status", answer.Status)
	}
}

// send sends the request to the upstream once.
func (c *call) send(ctx context.Context, upstream roster.Upstream, newConnection bool) (*exchange.Answer, error) {
	c.sending.admitted = false
	workspace := ""
	if c.workspace != nil {
		workspace = c.workspace.Name
	}
	header := c.Headers.Upstream(c.request, Attempt{
		UpstreamID: upstream.ID, Workspace: workspace, TimeLeft: c.deadline.Sub(c.Now()), LastEventID: c.progress.lastEventID,
	})
	answer, err := c.Client.Do(ctx, upstream.Address, exchange.Request{
		Method: c.request.Method, Target: c.request.Target, Host: c.request.Host, Header: header,
		Body: c.request.Body, ID: c.request.ID, NonIdempotent: !c.route.Repeatable(), NewConnection: newConnection,
		Admit: func() (func(exchange.Settlement), bool) {
			if !c.admitted(upstream) {
				return nil, false
			}
			return c.awaitSend(upstream), true
		},
	})
	if c.sending.admitted && errorx.IsOfType(err, exchange.NotSent) {
		c.sending.begun--
	}
	return answer, err
}

// admitted reports whether the upstream may get the request now, and counts it. It is called
// immediately before the request is written.
func (c *call) admitted(upstream roster.Upstream) bool {
	reason := ""
	switch {
	case c.crashesUpstreams():
		reason = "the request crashes upstreams"
	case c.sending.begun > 0 && !c.sending.admitted && c.Client.Silent(c.Now(), upstream.Address):
		// A repeat that a paused upstream gets when it goes on arrives beside those of that time.
		reason = "the upstream is silent, and gets no repeat"
		c.silentUpstreams = append(c.silentUpstreams, upstream.ID)
	case c.Guard != nil:
		reason = c.Guard.Admit(c.Now(), upstream)
	}
	if reason == "" && !c.beginSend() {
		reason = budgetExhausted
	}
	if reason != "" {
		c.logger.Info("request withheld from upstream", "upstream", upstream.ID, "why", reason)
	}
	return reason == ""
}

// maySendOnNewConnection reports whether a request that failed on a stale connection
// may be sent to the same upstream again, which the retry budget must allow. It is
// no attempt at another upstream, which MaxAttempts limits. The upstream may have
// executed the request, so the route must allow another execution.
func (c *call) maySendOnNewConnection(ctx context.Context, err error) bool {
	return errorx.IsOfType(err, exchange.Stale) && ctx.Err() == nil && c.route.Repeatable() && c.reserveRetry(c.targetService())
}

// handleUpstreamGone ends an attempt whose kept connection ended and whose upstream
// accepts no new one: it may have crashed while it executed the request.
func (c *call) handleUpstreamGone(ctx context.Context, upstream roster.Upstream, err error) Outcome {
	c.attempts++
	if ctx.Err() != nil {
		return Canceled
	}
	if errorx.IsOfType(err, exchange.NotAdmitted) {
		return Interrupted
	}
	c.connectionFailed(upstream.ID)
	c.Crashes.Broke(c.Now(), upstream, c.crashKey(), true)
	c.Crashes.Down(c.Now(), upstream)
	c.logger.Warn("answer lost", append(c.crashDetails(), "upstream", upstream.ID, "err", err)...)
	return Interrupted
}

func (c *call) handleNoAnswer(ctx context.Context, placement Placement, err error) Outcome {
	upstream := placement.Upstream()
	if errorx.IsOfType(err, exchange.NotSent) {
		if ctx.Err() != nil {
			return Canceled
		}
		if errorx.IsOfType(err, exchange.NotAdmitted) {
			c.withheld++
			c.withheldFrom = upstream.ID
			return Withheld
		}
		c.unreachable++
		c.connectionFailed(upstream.ID)
		c.Crashes.Down(c.Now(), upstream)
		c.logger.Info("could not connect to upstream", "upstream", upstream.ID, "err", err)
		return Unreachable
	}
	c.attempts++
	c.mayHaveExecuted = true
	if ctx.Err() != nil {
		c.recordSilence(upstream)
		return Canceled
	}
	c.connectionFailed(upstream.ID)
	c.Crashes.Broke(c.Now(), upstream, c.crashKey(), true)
	c.logger.Warn("answer lost", append(c.crashDetails(), "upstream", upstream.ID, "err", err)...)
	return Interrupted
}

// connectionFailed tells the guard that an upstream's connection failed.
func (c *call) connectionFailed(upstream string) {
	if c.Guard != nil {
		c.Guard.Failed(c.Now(), upstream)
	}
}
