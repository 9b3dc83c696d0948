package hostile_test

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxWriteBytes is the most that is sent in one call, reconnectDelay the pause of a
	// connection that was closed, and dialTimeout how long opening one may take.
	maxWriteBytes  = 64 << 10
	reconnectDelay = 20 * time.Millisecond
	dialTimeout    = time.Second
)

func shortName(n int) string { return fmt.Sprintf("X-%05d", n) }

// numberedKey stands for the key of a connection, by its number.
const numberedKey = "{key}"

var keys = []string{"hostile-key", "second-key", "third-key"}

// runCrowd sends a scenario on its connections until the time, again and again where they are
// closed.
func runCrowd(address string, s scenario, until time.Time) {
	var crowd sync.WaitGroup
	for i := range s.Crowd {
		crowd.Go(func() {
			for time.Now().Before(until) {
				if c, err := net.DialTimeout("tcp", address, dialTimeout); err == nil {
					s.sendOn(c, i, until)
					_ = c.Close()
				}
				<-time.After(reconnectDelay)
			}
		})
	}
	crowd.Wait()
}

// sendOn sends the pieces on a connection, and then keeps it until the peer closes it or the time.
func (s scenario) sendOn(c net.Conn, number int, until time.Time) {
	_ = c.SetDeadline(until)
	for _, p := range s.Send {
		if !p.send(c, number, until) {
			return
		}
	}
	if s.Unread {
		<-time.After(time.Until(until))
		return
	}
	_, _ = io.Copy(io.Discard, c)
}

// send sends a piece and reports whether the connection is still of use.
func (p piece) send(c net.Conn, number int, until time.Time) bool {
	text := strings.ReplaceAll(p.Text, numberedKey, keys[number%len(keys)])
	if p.Bytes == 0 && !p.Endless {
		_, err := io.WriteString(c, text)
		return err == nil
	}
	block := []byte(text)
	if onePerPause := p.Endless && p.PauseMs > 0; !onePerPause {
		block = []byte(strings.Repeat(text, max(1, min(p.size(), maxWriteBytes)/len(text))))
	}
	for left := p.size(); left > 0; left -= len(block) {
		if _, err := c.Write(block[:min(left, len(block))]); err != nil || time.Now().After(until) {
			return false
		}
		if p.PauseMs > 0 {
			<-time.After(time.Duration(p.PauseMs) * time.Millisecond)
		}
	}
	return true
}

// size returns how many bytes the piece has, more than any connection carries if it is endless.
func (p piece) size() int {
	if p.Endless {
		return 1 << 40
	}
	return p.Bytes
}

// parseKB returns the kilobytes of a line of /proc/PID/status.
func parseKB(line string) int {
	fields := strings.Fields(line)
	if len(fields) < 2 {
		return 0
	}
	n, _ := strconv.Atoi(fields[1])
	return n
}
