package soak_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonridge/persimmonridge/internal/standin/relay"
	"github.com/persimmonridge/persimmonridge/platform"
)

const (
	attemptHeader  = "X-Persimmonridge-Attempt-Id"
	instanceHeader = "X-Persimmonridge-Expect-Instance"
	// streamEvents and eventInterval make a stream last about 300 ms.
	streamEvents  = 20
	eventInterval = 15 * time.Millisecond
	responseTime  = 10 * time.Millisecond
	// slots is how many requests an upstream runs at once, and slotsHeld how many beside held
	// links, so that many are under way there.
	slots     = 8
	slotsHeld = 60
)

// failureMode is the way in which an upstream misbehaves.
type failureMode int32

const (
	healthy failureMode = iota
	// failing upstreams answer half of the requests with a failure.
	failing
	// truncating upstreams close the connection in the middle of half of the
	// answers.
	truncating
	// trailingBytes upstreams send bytes after each answer that belong to no
	// request.
	trailingBytes
	// unresponsive upstreams answer nothing.
	unresponsive
	// erring upstreams answer nearly all requests with a failure, and resetting ones reset
	// their connections.
	erring
	resetting
)

// requestLog records which upstreams received and executed each request, by
// attempt ID.
type requestLog struct {
	mu         sync.Mutex
	receivers  map[string][]*upstream
	executions map[string][]execution
	// arrivals are the requests that reached upstreams which stated a need.
	arrivals []arrival
	repeats  repeatLogs
	// brokenHeads and endless hold the requests of which the head of an answer broke off, and those
	// of which an answer has no end.
	brokenHeads, endless map[string]bool
	// ends are the times at which upstreams last ended their work on requests.
	ends map[string]time.Time
}

func newRequestLog() *requestLog {
	return &requestLog{receivers: make(map[string][]*upstream), executions: make(map[string][]execution), repeats: newRepeatLogs(), brokenHeads: make(map[string]bool), endless: make(map[string]bool), ends: make(map[string]time.Time)}
}

// execution is one execution of a request by an upstream.
type execution struct {
	at       time.Time
	upstream string
	body     string
	path     string
}

func (l *requestLog) recordReceiver(id string, u *upstream) {
	l.repeats[u.service].Arrived(time.Now(), id)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.receivers[id] = append(l.receivers[id], u)
}

func (l *requestLog) receiversOf(id string) []*upstream {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.receivers[id])
}

func (l *requestLog) recordExecution(id string, e execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions[id] = append(l.executions[id], e)
}

// executionTimes returns when each upstream began to execute requests.
func (l *requestLog) executionTimes() map[string][]time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	times := make(map[string][]time.Time)
	for _, executions := range l.executions {
		for _, e := range executions {
			times[e.upstream] = append(times[e.upstream], e.at)
		}
	}
	return times
}

func (l *requestLog) executionsOf(id string) []execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]execution(nil), l.executions[id]...)
}

// upstream is a stand-in for an upstream, which gateways reach through a relay.
type upstream struct {
	service    string
	domain     string
	requestLog *requestLog
	server     *http.Server
	relay      *relay.Relay
	store      registry
	// disruptions are the times in which faults make it lose requests or answers.
	disruptions disruptions
	// uneven is true if the time that work takes varies.
	uneven bool
	// shapeOf returns the shape of a request.
	shapeOf  func(id string) shape
	slowness slowness

	mu            sync.Mutex
	id            string
	up            bool
	state         string
	sequence      int
	drainingSince time.Time
	coldUntil     time.Time
	failureMode   atomic.Int32
	// bad is the failure mode while all upstreams answer badly, and badShare how many of ten
	// answers are bad then.
	bad      atomic.Int32
	badShare uint64
	endless  atomic.Bool
	// breaksHeads is set while it breaks off the heads of some answers.
	breaksHeads atomic.Bool
	need        atomic.Pointer[need]
	running     atomic.Int32
	slots       int32
	// crashUnder is called when a request crashes the upstream.
	crashUnder func(u *upstream)
	conns      map[net.Conn]struct{}
}

// registry is the part of the store that upstreams use.
type registry interface {
	Put(key, value string) int64
	Remove(key string)
}

func newUpstream(service, domain, id, address string, slots int32, log *requestLog, store registry) (*upstream, error) {
	inner, err := net.Listen("tcp", net.JoinHostPort(address, "9001"))
	if err != nil {
		return nil, err
	}
	outer, err := net.Listen("tcp", net.JoinHostPort(address, "9000"))
	if err != nil {
		return nil, err
	}
	u := &upstream{service: service, domain: domain, id: id, up: true, state: "ready", slots: slots, requestLog: log, store: store, conns: make(map[net.Conn]struct{})}
	u.server = &http.Server{Handler: u, ConnState: u.connState}
	go func() { _ = u.server.Serve(inner) }()
	u.relay = relay.New(outer, inner.Addr().String())
	u.register()
	return u, nil
}

func (u *upstream) connState(c net.Conn, s http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(u.conns, c)
		return
	}
	u.conns[c] = struct{}{}
}

// register writes the heartbeat of an upstream, if it is up.
func (u *upstream) register() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.up {
		return
	}
	u.sequence++
	u.store.Put(platform.UpstreamPrefix+u.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"sequence":%d,"born":1,"coldRemainingMs":%d}`,
		u.service, u.relay.Addr(), u.domain, u.slots, u.state, u.sequence, max(0, time.Until(u.coldUntil).Milliseconds())))
}

// crash closes all connections and takes the upstream down. Its registration
// remains in the store for 3 s.
func (u *upstream) crash() {
	u.mu.Lock()
	u.up = false
	old := u.id
	for c := range u.conns {
		_ = c.Close()
	}
	u.mu.Unlock()
	time.AfterFunc(3*time.Second, func() { u.store.Remove(platform.UpstreamPrefix + old) })
}

func (u *upstream) restart(id string, coldUntil time.Time) {
	u.mu.Lock()
	u.id, u.up, u.state, u.coldUntil = id, true, "ready", coldUntil
	u.need.Store(nil)
	u.mu.Unlock()
	u.register()
}

// drain announces that the upstream accepts no new requests. It keeps serving.
func (u *upstream) drain() {
	u.mu.Lock()
	u.state = "draining"
	u.mu.Unlock()
	u.register()
	u.mu.Lock()
	u.drainingSince = time.Now()
	u.mu.Unlock()
}

func (u *upstream) identity() (id string, up bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.id, u.up
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(attemptHeader)
	u.requestLog.recordReceiver(attempt, u)
	// The deadline of a slow stream before on this connection no longer applies.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	id, up := u.identity()
	body, err := io.ReadAll(r.Body)
	if err != nil || !up {
		panic(http.ErrAbortHandler)
	}
	names := platform.AnswerHeaders()
	w.Header().Set(names.RequestID, attempt)
	_, pace := u.pace()
	w.Header().Set(names.Load, fmt.Sprintf("%d,0,%d%s", u.running.Load(), u.slots, pace))
	if r.Header.Get(instanceHeader) != id {
		w.Header().Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if n := u.need.Load(); n != nil && n.upstream == id {
		u.requestLog.recordArrival(arrival{attempt: attempt, at: time.Now(), need: n})
		if n.state(w) {
			return
		}
	}
	if u.running.Add(1) > u.slots {
		u.running.Add(-1)
		w.Header().Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer u.running.Add(-1)
	u.requestLog.recordExecution(attempt, execution{at: time.Now(), upstream: id, body: string(body), path: r.URL.Path})
	defer u.requestLog.recordEnd(attempt)
	w.Header().Set(names.Seal, "seal-"+attempt)
	if crashesUpstream(r) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		u.crashUnder(u)
		panic(http.ErrAbortHandler)
	}
	u.run(w, r, attempt)
}

func (u *upstream) run(w http.ResponseWriter, r *http.Request, attempt string) {
	mode := failureMode(u.failureMode.Load())
	if mode == unresponsive {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if u.answerEndlessly(w, attempt) || u.breakOffHead(w, attempt) {
		return
	}
	id, _ := u.identity()
	if bad := failureMode(u.bad.Load()); bad.answersBadly(attempt, id, u.badShare) {
		if bad == resetting {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	affected := xxhash.Sum64String(attempt+id)%2 == 0
	if mode == failing && affected {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/stream") || strings.HasPrefix(r.URL.Path, "/once") || r.URL.Path == slowStream.path {
		u.stream(w, r, attempt, mode == truncating && affected)
	} else {
		u.plain(w, r, attempt, mode == truncating && affected)
		if mode == trailingBytes {
			u.writeTrailingBytes(w)
		}
	}
}

func (u *upstream) plain(w http.ResponseWriter, r *http.Request, attempt string, truncate bool) {
	u.work(r.Context(), responseTime)
	answer := expectedAnswer(attempt)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if truncate {
		answer = answer[:len(answer)/2]
	}
	_, _ = io.WriteString(w, answer)
	if truncate {
		panic(http.ErrAbortHandler)
	}
}

// expectedAnswer returns the complete body of a plain answer to a request.
func expectedAnswer(attempt string) string { return "done " + attempt + strings.Repeat(".", 100) }

func (u *upstream) stream(w http.ResponseWriter, r *http.Request, attempt string, truncate bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	s := u.shapeOf(attempt)
	u.readPrompt(r.Context(), s)
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := from + 1; i <= s.events; i++ {
		u.work(r.Context(), eventInterval)
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		text := strings.TrimSuffix(eventText(attempt, i), "\n\n") + limitUnread(w, r) + "\n\n"
		if truncate && i == max(1, s.events/2) {
			_, _ = io.WriteString(w, text[:len(text)/2])
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, text); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
}

func eventText(attempt string, i int) string {
	return fmt.Sprintf("id: %d\ndata: %s:%d\n\n", i, attempt, i)
}

// writeTrailingBytes sends a response after the answer that belongs to no request.
func (u *upstream) writeTrailingBytes(w http.ResponseWriter) {
	controller := http.NewResponseController(w)
	if err := controller.Flush(); err != nil {
		return
	}
	conn, buffered, err := controller.Hijack()
	if err != nil {
		return
	}
	_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
	_ = buffered.Flush()
	_ = conn.Close()
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (u *upstream) close() {
	_ = u.relay.Close()
	_ = u.server.Close()
}
