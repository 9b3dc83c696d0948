package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/platform/standin"
)

const (
	promptHeader = "X-Persimmonridge-Prompt-Prefix"
	// firstPart is the first part of all prompts, and crashingPart one that crashes engines.
	firstPart    = "f1"
	crashingPart = "bad0"
	// subjects is the number of parts that sound and crashing requests share.
	subjects = 3
)

// callWithParts makes a request with the parts of a prompt and one of its own. Its body is
// that of no other request.
func (c *crashingEngines) callWithParts(gateway int, id string, parts ...string) outcome {
	prompt := ""
	for _, part := range parts {
		prompt += part + ":100,"
	}
	prompt += fmt.Sprintf("%x:20", time.Now().UnixNano())
	return c.callWithHeaders(gateway, "/old/x?events=1", id, strings.NewReader(id), map[string]string{
		promptHeader: prompt, "X-Persimmonridge-Token-Counts": "400,100", "X-Persimmonridge-Length-Hint": "18",
	})
}

func subject(n int) string { return fmt.Sprintf("5%d", n%subjects) }

// repeatPart sends requests with the crashing part to one gateway after the other, no two
// alike.
func (c *crashingEngines) repeatPart(count int, every time.Duration) {
	var wg sync.WaitGroup
	for n := range count {
		wg.Go(func() {
			c.callWithParts(n%gateways, fmt.Sprintf("crash-%d-%d", time.Now().UnixNano(), n), firstPart, crashingPart, subject(n))
		})
		bubble.Sleep(every)
	}
	wg.Wait()
}

// pressSoundParts makes sound calls, some at a time, that share all parts but one with
// those that crash engines.
func (c *crashingEngines) pressSoundParts(during time.Duration) {
	for n, end := 0, time.Now().Add(during); time.Now().Before(end); n++ {
		go c.callWithParts(n%gateways, fmt.Sprintf("sound-%d", time.Now().UnixNano()), firstPart, subject(n))
		bubble.Sleep(40 * time.Millisecond)
	}
}

// Guards against requests that share a part of their prompts and crash one upstream after
// the other, each for the first time, and against sound ones that are refused for another
// part or their caller.
func TestPartOfPromptsThatCrashesUpstreamsIsStopped(t *testing.T) {
	conditions := map[string]func(c *crashingEngines){
		"many sound requests with the other parts": func(c *crashingEngines) {
			go c.pressSoundParts(30 * time.Second)
			bubble.Sleep(time.Second)
		},
	}
	for name, prepare := range crashConditions {
		conditions[name] = prepare
	}
	for name, prepare := range conditions {
		t.Run(name, func(t *testing.T) {
			var c *crashingEngines
			var again, beside []outcome
			runFleet(t, func(f *fleet) {
				c = newCrashingEngines(f, func(r *http.Request) bool { return strings.Contains(r.Header.Get(promptHeader), crashingPart) })
				prepare(c)
				c.repeatPart(16, 1200*time.Millisecond)
				bubble.Sleep(restartTime)
				for i := range gateways {
					again = append(again, c.callWithParts(i, fmt.Sprint("again-", i), firstPart, crashingPart, subject(i)))
					beside = append(beside, c.callWithParts(i, fmt.Sprint("beside-", i), firstPart, subject(i)))
				}
				f.store.SetFault(standin.None)
				bubble.Sleep(restartTime + lapseTime)
			})
			c.requireStopped(t, 5)
			for i := range gateways {
				require.Equal(t, http.StatusServiceUnavailable, again[i].status)
				require.NotEmpty(t, again[i].retryAfter)
				require.Equal(t, http.StatusOK, beside[i].status, "a request with the other parts is served")
			}
		})
	}
}

// Guards against sound requests that are refused or find no upstream, because they share
// their caller and their first part with requests that crash upstreams.
func TestSoundRequestsAreServedBesideAPartThatCrashesUpstreams(t *testing.T) {
	for name, every := range map[string]time.Duration{"all at once": 50 * time.Millisecond, "now and then": 700 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			calls, served := make(map[bool]int), make(map[bool]int)
			runFleet(t, func(f *fleet) {
				c := newCrashingEngines(f, func(r *http.Request) bool { return strings.Contains(r.Header.Get(promptHeader), crashingPart) })
				began := time.Now()
				var wg sync.WaitGroup
				wg.Go(func() {
					bubble.Sleep(5 * time.Second)
					c.repeatPart(int(20*time.Second/every), every)
				})
				for n := 0; time.Since(began) < 25*time.Second; n++ {
					sentAt := time.Since(began)
					wg.Go(func() {
						o := c.callWithParts(n%gateways, fmt.Sprint("sound-", n), firstPart, subject(n))
						mu.Lock()
						defer mu.Unlock()
						before, after := sentAt < 5*time.Second, sentAt > 5*time.Second+5*every+2*contactTime
						if !before && !after {
							return
						}
						calls[after]++
						if o.status == http.StatusOK {
							served[after]++
						}
					})
					bubble.Sleep(100 * time.Millisecond)
				}
				wg.Wait()
				bubble.Sleep(restartTime + lapseTime)
			})
			const before, after = false, true
			require.Greater(t, calls[before], 20)
			require.Greater(t, calls[after], 20)
			require.GreaterOrEqual(t, 2*served[after]*calls[before], served[before]*calls[after], "served %v of %v", served, calls)
		})
	}
}
