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
	// streamEvents and eventEvery make a stream last for some 300 ms.
	streamEvents = 20
	eventEvery   = 15 * time.Millisecond
	workTime     = 10 * time.Millisecond
	slots        = 8
)

// sickness is how an upstream misbehaves.
type sickness int32

const (
	well sickness = iota
	// failing: half of the answers are failures.
	failing
	// torn: half of the answers break off in the middle.
	torn
	// extra: bytes follow each answer that belong to nobody.
	extra
	// dark: nothing is answered.
	dark
)

// ledger is what reached the upstreams and what they ran, by request.
type ledger struct {
	mu   sync.Mutex
	seen map[string][]*upstream
	runs map[string][]ran
}

func newLedger() *ledger {
	return &ledger{seen: make(map[string][]*upstream), runs: make(map[string][]ran)}
}

// ran is one run of a request.
type ran struct {
	at       time.Time
	upstream string
	body     string
	path     string
}

func (l *ledger) see(id string, u *upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen[id] = append(l.seen[id], u)
}

func (l *ledger) seenBy(id string) []*upstream {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.seen[id])
}

func (l *ledger) add(id string, r ran) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], r)
}

func (l *ledger) of(id string) []ran {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]ran(nil), l.runs[id]...)
}

// upstream is a stand-in that gateways reach by a relay.
type upstream struct {
	service string
	ledger  *ledger
	server  *http.Server
	relay   *relay.Relay
	store   registrar
	// harms are when it was made to break off.
	harms harms

	mu       sync.Mutex
	id       string
	up       bool
	state    string
	sequence int
	leftAt   time.Time
	sick     atomic.Int32
	running  atomic.Int32
	conns    map[net.Conn]struct{}
}

// registrar is the store as upstreams use it.
type registrar interface {
	Put(key, value string) int64
	Remove(key string)
}

func newUpstream(service, id, address string, l *ledger, store registrar) (*upstream, error) {
	inner, err := net.Listen("tcp", net.JoinHostPort(address, "9001"))
	if err != nil {
		return nil, err
	}
	outer, err := net.Listen("tcp", net.JoinHostPort(address, "9000"))
	if err != nil {
		return nil, err
	}
	u := &upstream{service: service, id: id, up: true, state: "ready", ledger: l, store: store, conns: make(map[net.Conn]struct{})}
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

// register writes the heartbeat of an upstream that is up.
func (u *upstream) register() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.up {
		return
	}
	u.sequence++
	u.store.Put(platform.UpstreamPrefix+u.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"a","version":"v1","slots":%d,"state":%q,"sequence":%d,"born":1}`,
		u.service, u.relay.Addr(), slots, u.state, u.sequence))
}

// crash ends all connections; the upstream comes back as another one.
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

func (u *upstream) restart(id string) {
	u.mu.Lock()
	u.id, u.up, u.state = id, true, "ready"
	u.mu.Unlock()
	u.register()
}

// leave announces that the upstream gets nothing more; it serves on for a while.
func (u *upstream) leave() {
	u.mu.Lock()
	u.state = "draining"
	u.mu.Unlock()
	u.register()
	u.mu.Lock()
	u.leftAt = time.Now()
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
	u.ledger.see(attempt, u)
	id, up := u.identity()
	body, err := io.ReadAll(r.Body)
	if err != nil || !up {
		panic(http.ErrAbortHandler)
	}
	names := platform.AnswerNames()
	w.Header().Set(names.ID, attempt)
	w.Header().Set(names.Load, fmt.Sprintf("%d,0,%d", u.running.Load(), slots))
	if r.Header.Get(instanceHeader) != id {
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if u.running.Add(1) > slots {
		u.running.Add(-1)
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer u.running.Add(-1)
	u.ledger.add(attempt, ran{at: time.Now(), upstream: id, body: string(body), path: r.URL.Path})
	w.Header().Set(names.Seal, "seal-"+attempt)
	u.run(w, r, attempt)
}

func (u *upstream) run(w http.ResponseWriter, r *http.Request, attempt string) {
	sick := sickness(u.sick.Load())
	if sick == dark {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	id, _ := u.identity()
	unlucky := xxhash.Sum64String(attempt+id)%2 == 0
	if sick == failing && unlucky {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/stream") || strings.HasPrefix(r.URL.Path, "/once") {
		u.stream(w, r, attempt, sick == torn && unlucky)
	} else {
		u.plain(w, r, attempt, sick == torn && unlucky)
		if sick == extra {
			u.spill(w)
		}
	}
}

func (u *upstream) plain(w http.ResponseWriter, r *http.Request, attempt string, tear bool) {
	pause(r.Context(), workTime)
	answer := wholeAnswer(attempt)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if tear {
		answer = answer[:len(answer)/2]
	}
	_, _ = io.WriteString(w, answer)
	if tear {
		panic(http.ErrAbortHandler)
	}
}

// wholeAnswer is the body that belongs to a request.
func wholeAnswer(attempt string) string { return "done " + attempt + strings.Repeat(".", 100) }

func (u *upstream) stream(w http.ResponseWriter, r *http.Request, attempt string, tear bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := from + 1; i <= streamEvents; i++ {
		pause(r.Context(), eventEvery)
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		text := event(attempt, i)
		if tear && i == streamEvents/2 {
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

func event(attempt string, i int) string {
	return fmt.Sprintf("id: %d\ndata: %s:%d\n\n", i, attempt, i)
}

// spill sends bytes after the answer that belong to no request.
func (u *upstream) spill(w http.ResponseWriter) {
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
