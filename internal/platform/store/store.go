// Package store is a client of the platform's key-value store: get, list,
// compare-and-swap, blocking reads and sessions, by the published API of
// Consul's KV and session endpoints. It has no cache and no coordination of its
// own. Its errors distinguish a lost response from a call without effect.
package store

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/persimmonridge/persimmonridge/internal/dispatch/budget"
	"github.com/persimmonridge/persimmonridge/internal/upstream/framing"
)

var namespace = errorx.NewNamespace("store")

// Errors of this package.
var (
	// Unavailable means that the call had no effect and may be repeated later.
	Unavailable = namespace.NewType("unavailable")
	// Indeterminate means that a write may have taken effect although no response
	// arrived; the caller has to read the key before it assumes either outcome.
	Indeterminate = namespace.NewType("unclear")
	// Throttled means that this process has used up its rate limit.
	Throttled = namespace.NewType("throttled")
)

// Priority determines which calls of a process are rejected first at its rate
// limit.
type Priority int

// The priorities, highest first.
const (
	Claims Priority = iota
	Watches
	Housekeeping
)

const (
	// callsPerSecond and callBurst are the rate limit of one process for all
	// calls except claims, which are limited by their commit rate.
	callsPerSecond = 20
	callBurst      = 40
	// operatorCallsPerSecond is the rate limit of an operator's command.
	operatorCallsPerSecond = 200
	// callTimeout bounds a call other than a blocking read.
	callTimeout = 2 * time.Second
	// watchGrace is the time allowed for a blocking read beyond its wait.
	watchGrace = 3 * time.Second
	// maxValueBytes is the largest value that the store accepts.
	maxValueBytes = 1 << 20
)

// housekeepingReserve is the share of the burst that housekeeping must leave to
// calls of higher priority.
const housekeepingReserve = 0.5

// Entry is a key with its value and metadata in the store.
type Entry struct {
	key     string
	value   []byte
	index   uint64
	session string
}

// Key returns the key.
func (e Entry) Key() string { return e.key }

// Value returns the value.
func (e Entry) Value() []byte { return e.value }

// Index returns the modification index for compare-and-swap. It is 0 for a key
// that does not exist.
func (e Entry) Index() uint64 { return e.index }

// Session returns the session that holds the key, if any.
func (e Entry) Session() string { return e.session }

// Exists reports whether the key exists.
func (e Entry) Exists() bool { return e.index > 0 }

// Stats counts the calls of a client.
type Stats struct {
	reads, writes, failures, throttled, bytes atomic.Uint64
}

// Reads returns the number of reads sent.
func (a *Stats) Reads() uint64 { return a.reads.Load() }

// Writes returns the number of writes sent.
func (a *Stats) Writes() uint64 { return a.writes.Load() }

// Failures returns the number of calls without a valid response.
func (a *Stats) Failures() uint64 { return a.failures.Load() }

// Throttled returns the number of calls rejected by this process's rate limit.
func (a *Stats) Throttled() uint64 { return a.throttled.Load() }

// Bytes returns the total size of all responses.
func (a *Stats) Bytes() uint64 { return a.bytes.Load() }

// Dialer opens connections to the store.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls the store at one of several addresses. After a failed call it
// changes to the next address.
type Client struct {
	addresses []string
	http      *http.Client
	calls     *budget.Bucket
	burst     float64
	stats     *Stats
	current   atomic.Uint32
	now       func() time.Time
}

// New returns a client for the store at the addresses, such as
// "http://127.0.0.1:8500". The rate limit uses the clock now.
func New(addresses []string, now func() time.Time, dialer Dialer, options ...Option) *Client {
	transport := framing.NewTransport(&http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     90 * time.Second,
	})
	c := &Client{
		addresses: addresses,
		http:      &http.Client{Transport: transport},
		calls:     budget.New(callsPerSecond, callBurst),
		burst:     callBurst,
		stats:     &Stats{},
		now:       now,
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Option configures a client.
type Option func(*Client)

// ForOperator gives the client the higher rate limit of an operator's command,
// as there are far fewer operators than nodes.
func ForOperator() Option {
	return func(c *Client) {
		c.calls, c.burst = budget.New(operatorCallsPerSecond, operatorCallsPerSecond), operatorCallsPerSecond
	}
}

// allowed applies the rate limit. Claims are exempt: they are few, and a caller
// waits for each of them.
func (c *Client) allowed(priority Priority) bool {
	switch priority {
	case Claims:
		return true
	case Housekeeping:
		return c.calls.Take(c.now(), 1, housekeepingReserve*c.burst)
	}
	return c.calls.Take(c.now(), 1, 0)
}

// Stats returns the counters of the client's calls.
func (c *Client) Stats() *Stats { return c.stats }

// Close closes idle connections.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// Get reads one key. For a key that does not exist it returns an Entry with
// index 0.
func (c *Client) Get(ctx context.Context, priority Priority, key string) (Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, err := c.read(ctx, priority, key, nil)
	return firstEntry(key, entries), err
}

// Watch waits until the key's index differs from after, at most for wait, and
// reads the key.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchGrace)
	defer cancel()
	query := url.Values{}
	query.Set("index", strconv.FormatUint(after, 10))
	query.Set("wait", fmt.Sprintf("%dms", wait.Milliseconds()))
	entries, err := c.read(ctx, Watches, key, query)
	return firstEntry(key, entries), err
}

// List reads all keys with a prefix, in order.
func (c *Client) List(ctx context.Context, priority Priority, prefix string) ([]Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.read(ctx, priority, prefix, url.Values{"recurse": {"true"}})
}

// Swap writes a value if the key still has the index; index 0 creates the key
// if it does not exist. An Indeterminate error means that the write may have taken
// effect.
func (c *Client) Swap(ctx context.Context, priority Priority, key string, value []byte, index uint64) (bool, error) {
	if len(value) > maxValueBytes {
		return false, Unavailable.New("value of %s has %d bytes, more than the store's limit of %d; split it", key, len(value), maxValueBytes)
	}
	return c.put(ctx, priority, "/v1/kv/"+key, url.Values{"cas": {strconv.FormatUint(index, 10)}}, value)
}

// Delete removes a key if it still has the index.
func (c *Client) Delete(ctx context.Context, key string, index uint64) (bool, error) {
	query := url.Values{"cas": {strconv.FormatUint(index, 10)}}
	return c.send(ctx, Housekeeping, http.MethodDelete, "/v1/kv/"+key, query, nil)
}

// Acquire writes a value and locks the key for a session.
func (c *Client) Acquire(ctx context.Context, key, session string, value []byte) (bool, error) {
	return c.put(ctx, Watches, "/v1/kv/"+key, url.Values{"acquire": {session}}, value)
}

type sessionRequest struct {
	Name      string `json:"Name"`
	TTL       string `json:"TTL"`
	Behavior  string `json:"Behavior"`
	LockDelay string `json:"LockDelay"`
}

// CreateSession creates a session that expires after ttl without renewal and
// then releases its keys.
func (c *Client) CreateSession(ctx context.Context, name string, ttl time.Duration) (string, error) {
	body, err := json.Marshal(sessionRequest{Name: name, TTL: ttl.String(), Behavior: "release", LockDelay: "0s"})
	if err != nil {
		return "", err
	}
	answer, err := c.call(ctx, Watches, http.MethodPut, "/v1/session/create", nil, body)
	if err != nil {
		return "", err
	}
	var created struct{ ID string }
	if err := json.Unmarshal(answer.body, &created); err != nil || created.ID == "" {
		return "", Indeterminate.New("response of the store contains no session id; create another session")
	}
	return created.ID, nil
}

// RenewSession renews a session. It returns false if the session has expired.
func (c *Client) RenewSession(ctx context.Context, session string) (bool, error) {
	answer, err := c.call(ctx, Watches, http.MethodPut, "/v1/session/renew/"+session, nil, nil)
	return answer.status == http.StatusOK, err
}

// DestroySession ends a session and releases its keys.
func (c *Client) DestroySession(ctx context.Context, session string) error {
	_, err := c.call(ctx, Watches, http.MethodPut, "/v1/session/destroy/"+session, nil, nil)
	return err
}

type wireEntry struct {
	Key         string
	Value       string
	ModifyIndex uint64
	Session     string
}

func (c *Client) read(ctx context.Context, priority Priority, key string, query url.Values) ([]Entry, error) {
	answer, err := c.call(ctx, priority, http.MethodGet, "/v1/kv/"+key, query, nil)
	if err != nil {
		if errorx.IsOfType(err, Indeterminate) {
			return nil, Unavailable.Wrap(err, "read %s; try again", key)
		}
		return nil, err
	}
	if answer.status == http.StatusNotFound {
		return nil, nil
	}
	var raw []wireEntry
	if err := json.Unmarshal(answer.body, &raw); err != nil {
		return nil, Unavailable.Wrap(err, "response of the store for %s cannot be decoded; try again", key)
	}
	entries := make([]Entry, 0, len(raw))
	for _, r := range raw {
		value, err := base64.StdEncoding.DecodeString(r.Value)
		if err != nil {
			return nil, Unavailable.Wrap(err, "value of %s in the store's response is not base64; try again", r.Key)
		}
		entries = append(entries, Entry{key: r.Key, value: value, index: r.ModifyIndex, session: r.Session})
	}
	return entries, nil
}

func (c *Client) put(ctx context.Context, priority Priority, path string, query url.Values, value []byte) (bool, error) {
	return c.send(ctx, priority, http.MethodPut, path, query, value)
}

func (c *Client) send(ctx context.Context, priority Priority, method, path string, query url.Values, value []byte) (bool, error) {
	answer, err := c.call(ctx, priority, method, path, query, value)
	if err != nil {
		return false, err
	}
	return strings.TrimSpace(string(answer.body)) == "true", nil
}

type reply struct {
	status int
	body   []byte
}

func (c *Client) call(ctx context.Context, priority Priority, method, path string, query url.Values, body []byte) (reply, error) {
	if !c.allowed(priority) {
		c.stats.throttled.Add(1)
		return reply{}, Throttled.New("rate limit of this process for calls to the store is used up; wait a second")
	}
	if method == http.MethodGet {
		c.stats.reads.Add(1)
	} else {
		c.stats.writes.Add(1)
	}
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	answer, err := c.exchange(ctx, method, path, query, body)
	if err != nil {
		c.stats.failures.Add(1)
		c.current.Add(1)
	}
	c.stats.bytes.Add(uint64(len(answer.body)))
	return answer, err
}

func (c *Client) exchange(ctx context.Context, method, path string, query url.Values, body []byte) (reply, error) {
	address := c.addresses[int(c.current.Load())%len(c.addresses)]
	target := address + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return reply{}, Unavailable.Wrap(err, "invalid address %s of the store; correct store-addresses", address)
	}
	// Without GetBody the transport cannot repeat a write by itself, so one call
	// causes at most one write.
	request.GetBody = nil
	response, err := c.http.Do(request)
	if err != nil {
		return reply{}, classifyError(err, address)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, 64*maxValueBytes))
	if err != nil {
		return reply{}, Indeterminate.Wrap(err, "response of the store ended early; read the key back")
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return reply{}, Indeterminate.New("store answered with status %d; read the key back", response.StatusCode)
	}
	return reply{status: response.StatusCode, body: content}, nil
}

// classifyError distinguishes a failure to connect, which proves that nothing was
// written, from a lost response.
func classifyError(err error, address string) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Unavailable.Wrap(err, "store at %s unreachable; try again later", address)
	}
	return Indeterminate.Wrap(err, "no response from the store at %s; read the key back", address)
}

func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, has := ctx.Deadline(); has {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, callTimeout)
}

func firstEntry(key string, entries []Entry) Entry {
	if len(entries) == 0 {
		return Entry{key: key}
	}
	return entries[0]
}

// Backoff returns the delay after the given number of failed attempts: it grows
// exponentially from 100 ms to limit, with a jitter down to a quarter, so that
// nodes that failed at the same time do not retry at the same time.
func Backoff(attempt int, limit time.Duration) time.Duration {
	const base = 100 * time.Millisecond
	ceiling := min(limit, base<<min(attempt, 16))
	return ceiling/4 + rand.N(ceiling*3/4+1)
}
