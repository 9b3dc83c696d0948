package flow

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

// spendRetry charges the reserved retry, or one that is reserved now.
func (c *call) spendRetry() bool {
	service := c.targetService()
	if !c.reserveRetry(service) {
		return false
	}
	c.sending.reserved = false
	return c.Retries.Spend(c.Now(), service)
}
