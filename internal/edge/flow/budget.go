package flow

import (
	"time"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

// slowSettlement is how long it takes until it is logged that a request has arrived, or cannot
// arrive any more.
const slowSettlement = time.Second

// budgetExhausted is why a request that failed is not sent again.
const budgetExhausted = "retry budget exhausted"

// sendState is what counts of a request's sends for the retry budget.
type sendState struct {
	// begun counts the sends of which a byte may have been sent, also those on a new
	// connection to the same upstream, and admitted reports that the present one began.
	begun    int
	admitted bool
	// counted reports that the budget knows of the request, reserved that a retry is
	// reserved, and overBudget that a send was not admitted for want of one.
	counted, reserved, overBudget bool
}

// reserveRetry reserves a retry, unless one that was reserved before was not sent.
func (c *call) reserveRetry(service string) bool {
	s := &c.sending
	s.reserved = s.reserved || c.Retries.Reserve(c.Now(), service)
	return s.reserved
}

// releaseRetry ends the reservation of a retry that was not sent.
func (c *call) releaseRetry(service string) {
	if c.sending.reserved {
		c.sending.reserved = false
		c.Retries.Release(service)
	}
}

// beginSend counts a send, and reports whether the retry budget allows it. Each send after
// the first is a repeat, whatever made it necessary.
func (c *call) beginSend() bool {
	s := &c.sending
	if s.admitted {
		// The connection ended before the first byte, and another one takes its place.
		return true
	}
	if s.begun > 0 && !c.spendRetry() {
		s.overBudget = true
		return false
	}
	if !s.counted {
		s.counted = true
		c.Retries.Sent(c.Now(), c.targetService())
	}
	s.begun++
	s.admitted = true
	return true
}

// awaitSend returns whom to tell that the present send has arrived, or cannot arrive any more. It is
// nil if nothing counts that.
func (c *call) awaitSend(upstream roster.Upstream) func(exchange.Settlement) {
	sentAt := c.Now()
	var repeat func()
	if c.sending.begun > 1 {
		repeat = c.Retries.Await(c.targetService())
	}
	var limited func(now time.Time)
	if c.Guard != nil {
		limited = c.Guard.Await(sentAt, upstream)
	}
	if repeat == nil && limited == nil {
		return nil
	}
	now, logger := c.Now, c.logger
	return func(how exchange.Settlement) {
		settledAt := now()
		if repeat != nil {
			repeat()
		}
		if limited != nil {
			limited(settledAt)
		}
		if took := settledAt.Sub(sentAt); took > slowSettlement {
			logger.Info("send settled", "upstream", upstream.ID, "how", string(how), "after", took, "repeat", repeat != nil)
		}
	}
}

// spendRetry charges the reserved retry, or one that is reserved now.
func (c *call) spendRetry() bool {
	service := c.targetService()
	if !c.reserveRetry(service) {
		return false
	}
	c.sending.reserved = false
	return c.Retries.Spend(c.Now(), service)
}
