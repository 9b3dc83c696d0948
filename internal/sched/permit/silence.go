package permit

import "time"

const (
	// minUnanswered is the number of slot requests in a row without any reply after which a
	// scheduler is reported as silent, and minSilence the least time that they must span.
	// Gossip reports the loss of a gateway only after several of its intervals.
	minUnanswered = 3
	minSilence    = 100 * time.Millisecond
)

// silence counts the slot requests to one scheduler that got no reply since its last one.
type silence struct {
	scheduler string
	since     time.Time
	count     int
}

// recordReply records whether the scheduler replied in time to a slot request that was sent
// at a time. It reports the scheduler as silent after several that it did not reply to.
func (c *Client) recordReply(now time.Time, scheduler string, sentAt time.Time, replied bool) {
	c.mu.Lock()
	if replied || c.silence.scheduler != scheduler {
		c.silence = silence{scheduler: scheduler}
	}
	if !replied {
		if c.silence.count == 0 {
			c.silence.since = sentAt
		}
		c.silence.count++
	}
	current := c.silence
	c.mu.Unlock()
	if current.count >= minUnanswered && now.Sub(current.since) >= minSilence && c.Silent != nil {
		c.Silent(now, scheduler, current.since)
	}
}
