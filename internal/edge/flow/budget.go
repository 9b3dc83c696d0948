package flow

// budgetExhausted is why a request that failed is not sent again.
const budgetExhausted = "retry budget exhausted"

// reserveRetry reserves a retry, unless one that was reserved before was not sent.
func (c *call) reserveRetry(service string) bool {
	c.reserved = c.reserved || c.Retries.Reserve(c.Now(), service)
	return c.reserved
}

// releaseRetry ends the reservation of a retry that was not sent.
func (c *call) releaseRetry(service string) {
	if c.reserved {
		c.reserved = false
		c.Retries.Release(service)
	}
}

// beginSend counts a send, and reports whether the retry budget allows it. Each send after
// the first is a repeat, whatever made it necessary.
func (c *call) beginSend() bool {
	if c.admittedSend {
		// The connection ended before the first byte, and another one takes its place.
		return true
	}
	now, service := c.Now(), c.targetService()
	switch {
	case c.sends > 0:
		if !c.reserveRetry(service) {
			c.overBudget = true
			return false
		}
		c.reserved = false
		if !c.Retries.Spend(now, service) {
			c.overBudget = true
			return false
		}
	case !c.counted:
		c.counted = true
		c.Retries.Sent(now, service)
	}
	c.sends++
	c.admittedSend = true
	return true
}
