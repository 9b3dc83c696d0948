// Package store speaks to the platform's key-value service: get, list,
// compare-and-swap, blocking reads and sessions, in the published shape of
// Consul's KV and session endpoints. It keeps nothing and coordinates nothing
// itself; it tells an answer that was lost apart from a refusal.
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
)

var namespace = errorx.NewNamespace("store")

// Errors of this package.
var (
	// Unavailable: the call had no effect; try again later.
	Unavailable = namespace.NewType("unavailable")
	// Unclear: a write may have taken effect although no answer came; read
	// the key back before acting on either outcome.
	Unclear = namespace.NewType("unclear")
	// Throttled: this process has used its share of calls.
	Throttled = namespace.NewType("throttled")
)

// Priority orders a process's own calls when its share runs short.
type Priority int

// The priorities, most urgent first.
const (
	Claims Priority = iota
	Watches
	Housekeeping
)

const (
	// callsPerSecond and callBurst are one process's share of the service, for
	// all but claims, which limit themselves by their commit rate.
	callsPerSecond = 20
	callBurst      = 40
	// operatorCalls is the share of an operator's command.
	operatorCalls = 200
	// callTimeout bounds a call that does not block on purpose.
	callTimeout = 2 * time.Second
	// watchSlack is the time allowed beyond a blocking read's wait.
	watchSlack = 3 * time.Second
	// maxValue is the largest value the service holds.
	maxValue = 1 << 20
)

// housekeepingReserve leaves the last part of the burst to the more urgent.
const housekeepingReserve = 0.5

// Entry is one key's value as the service holds it.
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

// Index returns the modification index, to be used in compare-and-swap. It is
// 0 for a key that does not exist.
func (e Entry) Index() uint64 { return e.index }

// Session returns the session that holds the key, if any.
func (e Entry) Session() string { return e.session }

// Exists tells whether the key exists.
func (e Entry) Exists() bool { return e.index > 0 }

// Account counts a process's own calls on the service.
type Account struct {
	reads, writes, failures, throttled, bytes atomic.Uint64
}

// Reads returns the number of reads sent.
func (a *Account) Reads() uint64 { return a.reads.Load() }

// Writes returns the number of writes sent.
func (a *Account) Writes() uint64 { return a.writes.Load() }

// Failures returns the number of calls without a usable answer.
func (a *Account) Failures() uint64 { return a.failures.Load() }

// Throttled returns the number of calls this process kept to itself.
func (a *Account) Throttled() uint64 { return a.throttled.Load() }

// Bytes returns the bytes of all answers.
func (a *Account) Bytes() uint64 { return a.bytes.Load() }

// Dialer opens connections to the service.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Client speaks to one of several addresses of the service.
type Client struct {
	addresses []string
	http      *http.Client
	calls     *budget.Bucket
	burst     float64
	account   *Account
	current   atomic.Uint32
	now       func() time.Time
}

// New returns a client for the service at the addresses, such as
// "http://127.0.0.1:8500". Now is the clock that paces its calls.
func New(addresses []string, now func() time.Time, dialer Dialer, options ...Option) *Client {
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     90 * time.Second,
	}
	c := &Client{
		addresses: addresses,
		http:      &http.Client{Transport: transport},
		calls:     budget.New(callsPerSecond, callBurst),
		burst:     callBurst,
		account:   &Account{},
		now:       now,
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Option changes a client.
type Option func(*Client)

// ForOperator gives the client an operator's share of calls: one person at a
// keyboard, and not a fleet of nodes.
func ForOperator() Option {
	return func(c *Client) { c.calls, c.burst = budget.New(operatorCalls, operatorCalls), operatorCalls }
}

// allowed draws on the process's share. Claims always may: there are few, and
// someone waits for each.
func (c *Client) allowed(priority Priority) bool {
	switch priority {
	case Claims:
		return true
	case Housekeeping:
		return c.calls.Take(c.now(), 1, housekeepingReserve*c.burst)
	}
	return c.calls.Take(c.now(), 1, 0)
}

// Account returns the count of the client's own calls.
func (c *Client) Account() *Account { return c.account }

// Close ends idle connections.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// Get reads one key; a key that does not exist is an Entry without index.
func (c *Client) Get(ctx context.Context, priority Priority, key string) (Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, err := c.read(ctx, priority, key, nil)
	return first(key, entries), err
}

// Watch reads a key once its index differs from after, or after wait.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	query := url.Values{}
	query.Set("index", strconv.FormatUint(after, 10))
	query.Set("wait", fmt.Sprintf("%dms", wait.Milliseconds()))
	entries, err := c.read(ctx, Watches, key, query)
	return first(key, entries), err
}

// List reads all keys under a prefix, in order.
func (c *Client) List(ctx context.Context, priority Priority, prefix string) ([]Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.read(ctx, priority, prefix, url.Values{"recurse": {"true"}})
}

// Swap writes a value if the key still has the index; index 0 creates the key
// if it is absent. An Unclear error means the write may have taken effect.
func (c *Client) Swap(ctx context.Context, priority Priority, key string, value []byte, index uint64) (bool, error) {
	if len(value) > maxValue {
		return false, Unavailable.New("the value of %s has %d bytes, the service holds %d; split it", key, len(value), maxValue)
	}
	return c.put(ctx, priority, "/v1/kv/"+key, url.Values{"cas": {strconv.FormatUint(index, 10)}}, value)
}

// Delete removes a key if it still has the index.
func (c *Client) Delete(ctx context.Context, key string, index uint64) (bool, error) {
	query := url.Values{"cas": {strconv.FormatUint(index, 10)}}
	return c.send(ctx, Housekeeping, http.MethodDelete, "/v1/kv/"+key, query, nil)
}

// Acquire writes a value and takes the key for a session.
func (c *Client) Acquire(ctx context.Context, key, session string, value []byte) (bool, error) {
	return c.put(ctx, Watches, "/v1/kv/"+key, url.Values{"acquire": {session}}, value)
}

type sessionRequest struct {
	Name      string `json:"Name"`
	TTL       string `json:"TTL"`
	Behavior  string `json:"Behavior"`
	LockDelay string `json:"LockDelay"`
}

// CreateSession opens a session that lapses after ttl without renewal and then
// releases its keys.
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
		return "", Unclear.New("the service answered no session id; create another")
	}
	return created.ID, nil
}

// RenewSession keeps a session; false means that it has lapsed.
func (c *Client) RenewSession(ctx context.Context, session string) (bool, error) {
	answer, err := c.call(ctx, Watches, http.MethodPut, "/v1/session/renew/"+session, nil, nil)
	return answer.status == http.StatusOK, err
}

// DestroySession ends a session at once.
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
		if errorx.IsOfType(err, Unclear) {
			return nil, Unavailable.Wrap(err, "read %s; try again", key)
		}
		return nil, err
	}
	if answer.status == http.StatusNotFound {
		return nil, nil
	}
	var raw []wireEntry
	if err := json.Unmarshal(answer.body, &raw); err != nil {
		return nil, Unavailable.Wrap(err, "the service's answer for %s makes no sense; try again", key)
	}
	entries := make([]Entry, 0, len(raw))
	for _, r := range raw {
		value, err := base64.StdEncoding.DecodeString(r.Value)
		if err != nil {
			return nil, Unavailable.Wrap(err, "the service's value of %s makes no sense; try again", r.Key)
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
		c.account.throttled.Add(1)
		return reply{}, Throttled.New("this process has used its share of calls on the service; wait a second")
	}
	if method == http.MethodGet {
		c.account.reads.Add(1)
	} else {
		c.account.writes.Add(1)
	}
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	answer, err := c.exchange(ctx, method, path, query, body)
	if err != nil {
		c.account.failures.Add(1)
		c.current.Add(1)
	}
	c.account.bytes.Add(uint64(len(answer.body)))
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
		return reply{}, Unavailable.Wrap(err, "the service's address %s makes no sense; correct store-addresses", address)
	}
	// Without GetBody the transport cannot send a write a second time on its
	// own, so one call is at most one write.
	request.GetBody = nil
	response, err := c.http.Do(request)
	if err != nil {
		return reply{}, classify(err, address)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, 64*maxValue))
	if err != nil {
		return reply{}, Unclear.Wrap(err, "the service's answer broke off; read the key back")
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return reply{}, Unclear.New("the service answered %d; read the key back", response.StatusCode)
	}
	return reply{status: response.StatusCode, body: content}, nil
}

// classify tells a connection that was never made, which proves that nothing
// was written, from an answer that was lost.
func classify(err error, address string) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Unavailable.Wrap(err, "the service at %s cannot be reached; try again later", address)
	}
	return Unclear.Wrap(err, "no answer from the service at %s; read the key back", address)
}

func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, has := ctx.Deadline(); has {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, callTimeout)
}

func first(key string, entries []Entry) Entry {
	if len(entries) == 0 {
		return Entry{key: key}
	}
	return entries[0]
}

// Backoff returns how long to wait before attempt n (from 0): exponential from
// a tenth of a second to most, with full jitter so that nodes that failed
// together do not come back together.
func Backoff(attempt int, most time.Duration) time.Duration {
	const base = 100 * time.Millisecond
	ceiling := min(most, base<<min(attempt, 16))
	return ceiling/4 + rand.N(ceiling*3/4+1)
}
