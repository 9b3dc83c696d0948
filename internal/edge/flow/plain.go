package flow

import (
	"context"
	"strconv"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/edge/ingress"
)

// handleTruncated ends an attempt whose answer broke off, or has no end.
func (c *call) handleTruncated(ctx context.Context, placement Placement, answer *exchange.Answer, err error) Outcome {
	answer.Close(false)
	if ctx.Err() != nil {
		return Canceled
	}
	c.Crashes.Broke(c.Now(), placement.Upstream(), c.crashKey(), true)
	c.logger.Warn("answer truncated", append(c.crashDetails(), "upstream", placement.Upstream().ID, "err", err)...)
	return Interrupted
}

// passFailedAnswer passes the last error response of an upstream on unchanged.
func (c *call) passFailedAnswer() {
	c.writePlain(c.failedAnswer, c.failedBody)
	c.finish("upstream failure", "status", c.failedAnswer.Status)
}

func (c *call) writePlain(answer *exchange.Answer, body []byte) {
	c.passing.Store(true)
	c.Headers.Caller(answer.Header, c.w.Header())
	c.stateLength(int64(len(body)))
	if len(body) >= largeAnswerBytes {
		c.enlargeBuffer(c.held.answer, (*ingress.Conn).EnlargeSendBuffer)
	}
	c.w.WriteHeader(answer.Status)
	if _, err := c.w.Write(body); err != nil {
		c.logger.Info("caller disconnected while the answer was written", "err", err)
	}
	c.progress.answered = true
}

// stateLength states the length of an answer, so that its caller can tell whether it got all
// of it. net/http does so only for short answers, and an empty body may be that of a request
// for the head alone.
func (c *call) stateLength(length int64) {
	if length > 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
}
