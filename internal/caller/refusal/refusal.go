// Package refusal defines the error responses to callers: the kind of refusal,
// whether the request may have run, and what the caller can do.
package refusal

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Kind is the kind of a refusal. Kinds are part of the public API.
type Kind string

// Kinds of refusals.
const (
	BadRequest        Kind = "bad-request"
	UnknownName       Kind = "unknown-name"
	KeyRequired       Kind = "key-required"
	KeyMismatch       Kind = "key-mismatch"
	TooLarge          Kind = "too-large"
	Overloaded        Kind = "overloaded"
	TooLate           Kind = "too-late"
	NoUpstream        Kind = "no-upstream"
	CrashesUpstreams  Kind = "crashes-upstreams"
	ClaimsUnavailable Kind = "claims-unavailable"
	NotConfigured     Kind = "not-configured"
	Leaving           Kind = "leaving"
	Lost              Kind = "lost"
	Failed            Kind = "failed"
	Unfinished        Kind = "unfinished"
)

// Ran states whether the request was run.
type Ran string

// Values of Ran. NotRun is used only if it is certain that the request did not run.
const (
	NotRun     Ran = "not-run"
	MayHaveRun Ran = "may-have-run"
)

// Refusal is an error response to a caller. It is immutable.
type Refusal struct {
	kind       Kind
	ran        Ran
	message    string
	remedy     string
	retryAfter time.Duration
}

// New returns a refusal. message says what happened, remedy what the caller can do.
func New(kind Kind, ran Ran, message, remedy string) *Refusal {
	return &Refusal{kind: kind, ran: ran, message: message, remedy: remedy}
}

// RetryAfter returns a copy of the refusal with the time after which a retry is
// worthwhile.
func (r *Refusal) RetryAfter(d time.Duration) *Refusal {
	copied := *r
	copied.retryAfter = d
	return &copied
}

// Kind returns the kind of the refusal.
func (r *Refusal) Kind() Kind { return r.kind }

// Ran states whether the request was run.
func (r *Refusal) Ran() Ran { return r.ran }

// Error implements error.
func (r *Refusal) Error() string {
	return string(r.kind) + " (" + string(r.ran) + "): " + r.message + "; " + r.remedy
}

// statusByKind maps each kind to its HTTP status.
var statusByKind = map[Kind]int{
	BadRequest:        http.StatusBadRequest,
	UnknownName:       http.StatusNotFound,
	KeyRequired:       http.StatusBadRequest,
	KeyMismatch:       http.StatusUnprocessableEntity,
	TooLarge:          http.StatusRequestEntityTooLarge,
	Overloaded:        http.StatusTooManyRequests,
	TooLate:           http.StatusServiceUnavailable,
	NoUpstream:        http.StatusServiceUnavailable,
	CrashesUpstreams:  http.StatusUnprocessableEntity,
	ClaimsUnavailable: http.StatusServiceUnavailable,
	NotConfigured:     http.StatusServiceUnavailable,
	Leaving:           http.StatusServiceUnavailable,
	Lost:              http.StatusBadGateway,
	Failed:            http.StatusBadGateway,
	Unfinished:        http.StatusConflict,
}

// Status returns the HTTP status.
func (r *Refusal) Status() int {
	if code, ok := statusByKind[r.kind]; ok {
		return code
	}
	return http.StatusInternalServerError
}

type bodyJSON struct {
	Error errorJSON `json:"error"`
}

// errorJSON has the fields that OpenAI clients read, and additional fields of this
// API.
type errorJSON struct {
	Message      string `json:"message"`
	Type         Kind   `json:"type"`
	Code         Kind   `json:"code"`
	Ran          Ran    `json:"ran"`
	Remedy       string `json:"remedy"`
	RetryAfterMS int64  `json:"retry-after-ms,omitempty"`
	RequestID    string `json:"request-id"`
}

// Body returns the refusal as JSON.
func (r *Refusal) Body(requestID string) []byte {
	raw, err := json.Marshal(bodyJSON{Error: errorJSON{
		Message: r.message, Type: r.kind, Code: r.kind, Ran: r.ran, Remedy: r.remedy,
		RetryAfterMS: r.retryAfter.Milliseconds(), RequestID: requestID,
	}})
	if err != nil {
		return []byte(`{"error":{"type":"failed"}}`)
	}
	return raw
}

// Write writes the refusal as the response to the caller, without delay.
func (r *Refusal) Write(w http.ResponseWriter, requestID string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Ran", string(r.ran))
	if r.retryAfter > 0 {
		seconds := int(math.Ceil(r.retryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(r.Status())
	_, _ = w.Write(r.Body(requestID))
}
