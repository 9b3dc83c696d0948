package ingress

import (
	"time"
)

// crowdedLogInterval is the least time between two log lines on connections that give way.
const crowdedLogInterval = 5 * time.Second

// yieldingAtBound is how many connections give way to one that was not taken, so that there is
// room for those that come next.
const yieldingAtBound = 8

// makeRoom counts a new connection, and reports whether there is room for it. Before there is
// none, connections that wait for a request give way, the one that has waited for longest first.
func (s *Server) makeRoom(now time.Time) bool {
	taken, crowded := s.Memory.TakeConnection()
	if !crowded {
		return taken
	}
	yielding := 1
	if !taken {
		yielding = yieldingAtBound
	}
	for range yielding {
		s.yieldLongest(now)
	}
	s.logCrowded(now)
	return taken
}

// yieldLongest closes the connection without a request that has not changed for longest, if any.
func (s *Server) yieldLongest(now time.Time) {
	s.mu.Lock()
	var longest *Conn
	if front := s.waiting.Front(); front != nil {
		longest = s.waiting.Remove(front).(*Conn)
		longest.place = nil
	}
	s.mu.Unlock()
	if longest != nil {
		// It only fails on a closed connection.
		_ = longest.yield(now)
		longest.header.endLinger()
	}
}

func (s *Server) logCrowded(now time.Time) {
	s.mu.Lock()
	due := now.Sub(s.crowdedLoggedAt) >= crowdedLogInterval
	if due {
		s.crowdedLoggedAt = now
	}
	waiting := s.waiting.Len()
	s.mu.Unlock()
	if due {
		stats := s.Memory.Stats()
		s.Logger.Warn("connections of callers are near their bound; those that wait give way",
			"connections", stats.Connections, "bound", stats.ConnectionLimit, "waiting", waiting, "refused", stats.ConnectionsRefused)
	}
}

func (s *Server) track(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	c.place = s.waiting.PushBack(c)
}

func (s *Server) untrack(c *Conn) {
	s.mu.Lock()
	_, open := s.conns[c]
	delete(s.conns, c)
	s.removeLocked(c)
	s.mu.Unlock()
	if open {
		s.Memory.ReturnConnection()
	}
}

// beginWait puts a connection without a request behind the others that wait, also one that waits
// already. One that is closed or yields is left out.
func (s *Server) beginWait(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(c)
	if _, open := s.conns[c]; open && !c.isYielding() {
		c.place = s.waiting.PushBack(c)
	}
}

// endWait records that a connection has a request.
func (s *Server) endWait(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(c)
}

func (s *Server) removeLocked(c *Conn) {
	if c.place != nil {
		s.waiting.Remove(c.place)
		c.place = nil
	}
}

// yield ends a connection without a request soon: one that is idle like one at the idle limit, and
// one within its header at once. One that has a request by now is kept.
func (c *Conn) yield(now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.idleSince.IsZero():
		c.yielding = true
		return c.Conn.SetReadDeadline(now)
	case !c.headerDeadline.IsZero():
		c.yielding = true
		c.headerDeadline = now
		return c.Conn.SetReadDeadline(now)
	}
	return nil
}

func (c *Conn) isYielding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.yielding
}

// idleReason returns why a connection is closed that waits for a request.
func (c *Conn) idleReason() CloseReason {
	if c.isYielding() {
		return CloseCrowded
	}
	return CloseIdle
}
