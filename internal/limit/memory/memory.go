// Package memory accounts for what a gateway holds for its callers: the bytes of large headers,
// request bodies and answers, and their connections. It bounds them by shares of the memory limit
// of its process and of its descriptors.
package memory

import (
	"math"
	"sync"
	"time"
)

const (
	// share is the fraction of the process's memory limit that the account may hold. The Go
	// runtime is limited to 0.6 of it (memoryLimitShare in cmd/persimmonridge). What remains
	// of that besides unfinishedShare is for the gateway's other data and for garbage, without which
	// collections would be continuous. The 0.4 outside the runtime hold the bytes in
	// transit in the kernel's socket buffers.
	share = 0.25
	// unfinishedShare is the fraction of the process's memory limit that unfinished answers and
	// events may hold beyond a small size each, and defaultUnfinishedBytes the bound if the
	// limit is unknown.
	unfinishedShare        = 1.0 / 16
	defaultUnfinishedBytes = 16 << 20
	// defaultProcessBytes is the memory limit of a process that was told none: the smallest VMs
	// have a little more.
	defaultProcessBytes = 128 << 20
	// linkShare is the fraction of the process's memory limit for what connections of other
	// gateways hold before they have sent a message: anyone who reaches their port can open them.
	linkShare = 1.0 / 16
	// bodyShare is the fraction of the account that request bodies may use. Bodies can be
	// refused and answers cannot, so the rest is left to answers.
	bodyShare = 0.75
	// lowerTierShare is the fraction of the account that bodies of lower tiers may use for
	// shedTime after a body of a higher tier was refused. Room that becomes free above it is
	// left to the higher tier, which must not be shed before a lower one.
	lowerTierShare = 0.5
	shedTime       = time.Second
	// headerShare is the fraction of the account that large headers may use.
	headerShare = 0.25
	// smallBodyFraction is the fraction of the account up to which a body is small, and
	// smallBodyShare the fraction of the account that bodies may use if the next one is small.
	// Large bodies that stop before their end thus leave room for those of other callers.
	smallBodyFraction = 1.0 / 2048
	smallBodyShare    = 0.875
	// holderShare is the fraction of the account that one holder may use.
	holderShare = 0.5
	// streamShare is the fraction of the account that one stream may use.
	streamShare = 0.125
	// roomShare is the fraction of the account below which a full account has room again.
	// The distance to bodyShare prevents a change with each request.
	roomShare = 0.5
	// rateHalfLife is the time in which a released byte loses half of its weight in the
	// rate of release.
	rateHalfLife = time.Second
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refusal. Without any
	// release lately, the rate says nothing, and maxRetryAfter applies.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Kind is what held bytes belong to.
type Kind int

// Kinds of held bytes.
const (
	// Body is a request body.
	Body Kind = iota
	// Answer is an answer that is buffered as a whole.
	Answer
	// Stream is the part of a stream that was read ahead of its caller.
	Stream
	// Header is a request's header beyond the usual size.
	Header
	kindCount
)

var kindNames = [kindCount]string{"body", "answer", "stream", "header"}

// String returns the kind's name in metrics.
func (k Kind) String() string { return kindNames[k] }

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Body, Answer, Stream, Header} }

// Limit returns the limit of the account in a process with the memory limit, which is 0 if it is
// unknown.
func Limit(processBytes int64) int64 {
	if processBytes <= 0 {
		processBytes = defaultProcessBytes
	}
	return int64(float64(processBytes) * share)
}

// UnfinishedLimit returns the bound of what unfinished answers hold in a process with the memory
// limit, which is 0 if it is unknown.
func UnfinishedLimit(processBytes int64) int64 {
	if processBytes <= 0 {
		return defaultUnfinishedBytes
	}
	return int64(float64(processBytes) * unfinishedShare)
}

// LinkLimit returns the bound of what connections hold that did not prove to be another gateway's,
// in a process with the memory limit, which is 0 if it is unknown.
func LinkLimit(processBytes int64) int64 {
	if processBytes <= 0 {
		processBytes = defaultProcessBytes
	}
	return int64(float64(processBytes) * linkShare)
}

// Stats are the figures of an account.
type Stats struct {
	Limit int64
	Held  [kindCount]int64
	// Refused counts the requests that were refused for lack of memory, and ReadAhead the
	// streams that were read ahead of their callers.
	Refused, ReadAhead int64
	// Displaced counts the bodies that were dropped while they arrived.
	Displaced int64
	// Connections are open, of ConnectionLimit at most, 0 if they are not bounded.
	Connections, ConnectionLimit int
	// ConnectionsRefused counts the connections that were not taken for lack of room.
	ConnectionsRefused int64
}

// Account bounds the bytes held. Without a limit it is disabled and bounds nothing. It is
// safe for concurrent use.
type Account struct {
	changed func(full bool, held, limit int64)

	mu      sync.Mutex
	limit   int64
	held    int64
	byKind  [kindCount]int64
	holders map[string]int64
	waiters []*waiter
	full    bool
	// freed is the sum of the bytes released until freedAt, decayed by rateHalfLife.
	freed   float64
	freedAt time.Time
	// promised is when the last refused request was told to come back.
	promised time.Time
	// shedTier is the highest tier of which a body was refused for lack of room in the
	// account, until shedUntil.
	shedTier           int
	shedUntil          time.Time
	refused, readAhead int64
	// arriving are the reservations of bodies of which a part may be outstanding.
	arriving  map[*Reservation]struct{}
	displaced int64

	connections, connectionLimit int
	connectionsRefused           int64
}

// waiter waits until a reservation can grow by need bytes.
type waiter struct {
	reservation *Reservation
	need        int64
	ready       chan struct{}
}

// New returns an account with the limit, which is disabled if the limit is 0. It calls
// changed when it becomes full, and when it has room again; changed may be nil.
func New(limit int64, changed func(full bool, held, limit int64)) *Account {
	if changed == nil {
		changed = func(bool, int64, int64) {}
	}
	return &Account{limit: limit, changed: changed, holders: make(map[string]int64), arriving: make(map[*Reservation]struct{})}
}

// SetLimit changes the limit. Bytes that are held beyond it stay.
func (a *Account) SetLimit(now time.Time, limit int64) {
	a.mu.Lock()
	a.limit = limit
	a.wakeLocked(now)
	a.mu.Unlock()
}

// Enabled reports whether the account has a limit. A nil account has none.
func (a *Account) Enabled() bool {
	if a == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limit > 0
}

// Stats returns the account's figures.
func (a *Account) Stats() Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Stats{
		Limit: a.limit, Held: a.byKind, Refused: a.refused, ReadAhead: a.readAhead, Displaced: a.displaced,
		Connections: a.connections, ConnectionLimit: a.connectionLimit, ConnectionsRefused: a.connectionsRefused,
	}
}

// Open returns an empty reservation of the holder, which bounds what several reservations
// of one caller have in total.
func (a *Account) Open(kind Kind, holder string) *Reservation {
	return &Reservation{account: a, kind: kind, holder: holder}
}

// OpenBody returns an empty reservation for a request body of a tier, of which 0 is the
// highest.
func (a *Account) OpenBody(holder string, tier int) *Reservation {
	return &Reservation{account: a, kind: Body, holder: holder, tier: tier}
}

// CountReadAhead counts a stream that is read ahead of its caller.
func (a *Account) CountReadAhead() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readAhead++
}

// excessLocked returns by how much the account, the holder or the reservation would exceed
// its bound if the reservation grew, at most 0 if it may grow. It also reports whether the
// bound of the whole account is exceeded.
func (a *Account) excessLocked(now time.Time, r *Reservation, n int64) (excess int64, total bool) {
	inTotal, ofHolder := a.excessesLocked(now, r, n)
	excess, total = max(inTotal, ofHolder), inTotal > 0
	if a.limit > 0 && r.kind == Stream {
		excess = max(excess, r.held+n-int64(streamShare*float64(a.limit)))
	}
	return excess, total
}

// excessesLocked returns by how much the account and the holder would exceed their bounds if the
// reservation grew.
func (a *Account) excessesLocked(now time.Time, r *Reservation, n int64) (total, holder int64) {
	if a.limit <= 0 {
		return 0, 0
	}
	bound := a.limit
	switch r.kind {
	case Body:
		bound = a.bodyBoundLocked(now, r, n)
	case Header:
		return max(a.held+n-bound, a.byKind[Header]+n-int64(headerShare*float64(a.limit))), 0
	}
	return a.held + n - bound, a.holders[r.holder] + n - int64(holderShare*float64(a.limit))
}

// bodyBoundLocked returns how many bytes the account may hold once the reservation of a body has
// grown by n bytes.
func (a *Account) bodyBoundLocked(now time.Time, r *Reservation, n int64) int64 {
	limit := float64(a.limit)
	switch {
	case r.tier > a.shedTier && now.Before(a.shedUntil):
		return int64(lowerTierShare * limit)
	case float64(r.held+n) <= smallBodyFraction*limit:
		return int64(smallBodyShare * limit)
	}
	return int64(bodyShare * limit)
}

// addLocked adds n bytes, which may be negative, to what the reservation holds.
func (a *Account) addLocked(r *Reservation, n int64) {
	r.held += n
	a.held += n
	a.byKind[r.kind] += n
	a.holders[r.holder] += n
	if a.holders[r.holder] == 0 {
		delete(a.holders, r.holder)
	}
}

// wakeLocked wakes the waiters for which there is room, in the order in which they came. A
// waiter whose holder or reservation is at its bound does not hold up the others.
func (a *Account) wakeLocked(now time.Time) {
	kept, granted := a.waiters[:0], int64(0)
	for _, w := range a.waiters {
		if excess, _ := a.excessLocked(now, w.reservation, w.need+granted); excess > 0 {
			kept = append(kept, w)
			continue
		}
		granted += w.need
		close(w.ready)
	}
	clear(a.waiters[len(kept):])
	a.waiters = kept
}

// releaseLocked ends n bytes of the reservation. Only bytes that were of use count in the
// rate of release. It reports whether a full account has room again.
func (a *Account) releaseLocked(now time.Time, r *Reservation, n int64, used bool) (hasRoom bool) {
	a.addLocked(r, -n)
	if used {
		a.freed = a.decayedLocked(now) + float64(n)
		if now.After(a.freedAt) {
			a.freedAt = now
		}
	}
	a.wakeLocked(now)
	if a.full && float64(a.held) <= roomShare*float64(a.limit) {
		a.full = false
		return true
	}
	return false
}

// decayedLocked returns the bytes released lately.
func (a *Account) decayedLocked(now time.Time) float64 {
	return a.freed * math.Exp2(-max(0, now.Sub(a.freedAt).Seconds())/rateHalfLife.Seconds())
}

// rateLocked returns the bytes that become free in a second.
func (a *Account) rateLocked(now time.Time) float64 {
	return a.decayedLocked(now) * math.Ln2 / rateHalfLife.Seconds()
}
