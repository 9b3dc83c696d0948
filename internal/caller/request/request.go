// Package request parses and validates callers' requests: workspace, service,
// action, tier, deadline, idempotency key, and the hashes that identify the body
// and its prompt prefix. Unknown names and malformed requests are refused before
// any other processing.
package request

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonridge/persimmonridge/internal/caller/refusal"
	"github.com/persimmonridge/persimmonridge/internal/config/document"
	"github.com/persimmonridge/persimmonridge/internal/config/inventory"
)

// Header fields of the public API.
const (
	HeaderWorkspace = "X-Workspace"
	HeaderAction    = "X-Action"
	HeaderTier      = "X-Tier"
	HeaderDeadline  = "X-Deadline"
	HeaderKey       = "Idempotency-Key"
	HeaderRequestID = "X-Request-Id"
)

// ChatPath is the OpenAI-style endpoint of model services.
const ChatPath = "/v1/chat/completions"

const (
	// MaxBodyBytes is the maximum size of a request body in bytes.
	MaxBodyBytes = 1 << 20
	// maxKeyBytes is the maximum length of an idempotency key.
	maxKeyBytes = 255
	// maxDeadline is the longest deadline that a caller may set.
	maxDeadline = 5 * time.Minute
	// prefixBytes is the length of the prefix of a prompt without a system message.
	prefixBytes = 256
	// bytesPerToken is the typical length of a token of text.
	bytesPerToken = 4
)

// Request is one complete and valid request of a caller.
type Request struct {
	id           string
	workspace    string
	service      inventory.Service
	action       inventory.Action
	tier         int
	arrived      time.Time
	deadline     time.Time
	key          string
	fingerprint  uint64
	prefixKey    uint64
	promptTokens int
	prefixTokens int
	repeatSafe   bool
	large        bool
	body         []byte
	headers      http.Header
	path         string
}

// Read reads a caller's request and validates it against the configuration doc. It
// returns a refusal if the request is not valid.
func Read(now time.Time, id string, r *http.Request, doc document.Document) (*Request, *refusal.Refusal) {
	body, refused := readBody(r)
	if refused != nil {
		return nil, refused
	}
	q := &Request{id: id, arrived: now, body: body, headers: r.Header, path: r.URL.RequestURI(), key: r.Header.Get(HeaderKey)}
	steps := []func(*http.Request, document.Document) *refusal.Refusal{
		q.readService, q.readWorkspace, q.readRules, q.readKey,
	}
	for _, step := range steps {
		if refused := step(r, doc); refused != nil {
			return nil, refused
		}
	}
	q.fingerprint = xxhash.Sum64(body) ^ xxhash.Sum64String(q.action.Route())
	return q, nil
}

func readBody(r *http.Request) ([]byte, *refusal.Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refusal.New(refusal.TooLarge, refusal.NotRun, "the body is larger than "+strconv.Itoa(MaxBodyBytes)+" bytes", "send a smaller one")
	}
	if err != nil {
		return nil, refusal.New(refusal.BadRequest, refusal.NotRun, "the body could not be read", "send the request again")
	}
	return body, nil
}

// chatBody holds the fields used of an OpenAI-style chat completion.
type chatBody struct {
	Model    string    `json:"model"`
	Messages []message `json:"messages"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

func (q *Request) readService(r *http.Request, doc document.Document) *refusal.Refusal {
	if r.URL.Path == ChatPath {
		return q.readChat(r, doc)
	}
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	service, ok := doc.Inventory().Service(name)
	if !ok || service.Kind() != inventory.Plain {
		return refusal.New(refusal.UnknownName, refusal.NotRun, "no plain service "+strconv.Quote(name), "use "+ChatPath+" or a path that begins with one of the plain services' names")
	}
	q.service = service
	q.path = strings.TrimPrefix(r.URL.RequestURI(), "/"+name)
	for _, action := range service.Actions() {
		if action.Method() == r.Method && matchesPattern(action.Path(), "/"+rest) {
			q.action = action
			return nil
		}
	}
	return refusal.New(refusal.UnknownName, refusal.NotRun, "service "+name+" has no action for "+r.Method+" /"+rest, "use a method and path of the inventory")
}

// matchesPattern reports whether path matches pattern segment by segment. A segment
// of the pattern in braces matches any non-empty segment.
func matchesPattern(pattern, path string) bool {
	patternSegments, pathSegments := strings.Split(pattern, "/"), strings.Split(path, "/")
	if len(patternSegments) != len(pathSegments) {
		return false
	}
	for i := range patternSegments {
		isParameter := strings.HasPrefix(patternSegments[i], "{") && strings.HasSuffix(patternSegments[i], "}")
		if patternSegments[i] == pathSegments[i] || isParameter && pathSegments[i] != "" {
			continue
		}
		return false
	}
	return true
}

// readChat reads the service, and the action if given, from the model name: "tutor"
// or "tutor/critique". So OpenAI clients need no other fields.
func (q *Request) readChat(r *http.Request, doc document.Document) *refusal.Refusal {
	if r.Method != http.MethodPost {
		return refusal.New(refusal.BadRequest, refusal.NotRun, ChatPath+" accepts only POST", "use POST")
	}
	var body chatBody
	if err := json.Unmarshal(q.body, &body); err != nil || body.Model == "" || len(body.Messages) == 0 {
		return refusal.New(refusal.BadRequest, refusal.NotRun, "the body is not a chat completion with model and messages", "send JSON as specified by the public API")
	}
	name, actionName, _ := strings.Cut(body.Model, "/")
	service, ok := doc.Inventory().Service(name)
	if !ok || service.Kind() != inventory.Model {
		return refusal.New(refusal.UnknownName, refusal.NotRun, "no model service "+strconv.Quote(name), "name a service of the inventory as model")
	}
	if given := r.Header.Get(HeaderAction); given != "" {
		actionName = given
	}
	q.service, q.action = service, service.Actions()[0]
	if actionName != "" {
		if q.action, ok = service.Action(actionName); !ok {
			return refusal.New(refusal.UnknownName, refusal.NotRun, "service "+name+" has no action "+strconv.Quote(actionName), "name an action of the inventory")
		}
	}
	q.prefixKey, q.prefixTokens = prefixOf(body)
	q.promptTokens = max(len(q.body)/bytesPerToken, 1)
	return nil
}

// prefixOf returns the hash and the estimated length of the prompt's prefix: a
// leading system message, because prompts share those, or else the first bytes of
// the first message.
func prefixOf(body chatBody) (key uint64, tokens int) {
	prefix := body.Messages[0].Content
	if body.Messages[0].Role != "system" {
		prefix = prefix[:min(len(prefix), prefixBytes)]
	}
	return xxhash.Sum64(prefix), len(prefix) / bytesPerToken
}

func (q *Request) readWorkspace(r *http.Request, doc document.Document) *refusal.Refusal {
	name := r.Header.Get(HeaderWorkspace)
	if name == "" {
		name = strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	}
	size, ok := doc.Inventory().WorkspaceSize(name)
	if !ok {
		return refusal.New(refusal.UnknownName, refusal.NotRun, "no workspace "+strconv.Quote(name), "send "+HeaderWorkspace+", or the workspace as API key, with a name of the inventory")
	}
	q.workspace, q.large = name, size == inventory.Large
	return nil
}

func (q *Request) readRules(r *http.Request, doc document.Document) *refusal.Refusal {
	rule := doc.Rules().Action(q.action.Route())
	q.tier, q.repeatSafe = rule.Tier(), rule.RepeatSafe()
	q.deadline = q.arrived.Add(rule.Deadline())
	if given := r.Header.Get(HeaderTier); given != "" {
		tier, ok := doc.Rules().Tier(given)
		if !ok {
			return refusal.New(refusal.UnknownName, refusal.NotRun, "no tier "+strconv.Quote(given), "name one of "+strings.Join(doc.Rules().Tiers(), ", "))
		}
		if tier < rule.Tier() {
			return refusal.New(refusal.BadRequest, refusal.NotRun, "tier "+given+" is higher than the rules allow for "+q.action.Route(), "omit "+HeaderTier+" or name a lower tier")
		}
		q.tier = tier
	}
	if given := r.Header.Get(HeaderDeadline); given != "" {
		deadline, err := time.ParseDuration(given)
		if err != nil || deadline <= 0 || deadline > maxDeadline {
			return refusal.New(refusal.BadRequest, refusal.NotRun, HeaderDeadline+" is not a positive duration of at most "+maxDeadline.String(), `write one such as "20s"`)
		}
		q.deadline = q.arrived.Add(deadline)
	}
	if rule.KeyRequired() && q.key == "" {
		return refusal.New(refusal.KeyRequired, refusal.NotRun, q.action.Route()+" requires an "+HeaderKey, "send a key that identifies the action, and the same one at each retry")
	}
	return nil
}

func (q *Request) readKey(*http.Request, document.Document) *refusal.Refusal {
	printable := func(c rune) bool { return c > ' ' && c < 0x7f }
	if len(q.key) > maxKeyBytes || strings.ContainsFunc(q.key, func(c rune) bool { return !printable(c) }) {
		return refusal.New(refusal.BadRequest, refusal.NotRun, HeaderKey+" is longer than 255 characters or contains characters other than visible ASCII", "send a shorter key of visible ASCII characters")
	}
	return nil
}

// ID returns the request's id, which is unique in the fleet.
func (q *Request) ID() string { return q.id }

// Workspace returns the workspace that sent the request.
func (q *Request) Workspace() string { return q.workspace }

// Large reports whether the workspace is a large one.
func (q *Request) Large() bool { return q.large }

// Service returns the requested service.
func (q *Request) Service() inventory.Service { return q.service }

// Action returns the requested action.
func (q *Request) Action() inventory.Action { return q.action }

// Tier returns the request's tier, 0 being the highest.
func (q *Request) Tier() int { return q.tier }

// Arrived returns the time of arrival.
func (q *Request) Arrived() time.Time { return q.arrived }

// Deadline returns the time by which the request must be answered.
func (q *Request) Deadline() time.Time { return q.deadline }

// RepeatSafe reports whether the request may run again if its outcome is unknown.
func (q *Request) RepeatSafe() bool { return q.repeatSafe }

// Keyed reports whether the request is a non-idempotent action with a key. Its key
// is claimed before the request is dispatched.
func (q *Request) Keyed() bool { return q.key != "" && !q.repeatSafe }

// ClaimKey returns the key of the claim, which is the same for every retry.
func (q *Request) ClaimKey() string { return q.workspace + "/" + q.action.Route() + "/" + q.key }

// Fingerprint returns a hash of the body and action.
func (q *Request) Fingerprint() uint64 { return q.fingerprint }

// PrefixKey returns a hash of the prompt's prefix.
func (q *Request) PrefixKey() uint64 { return q.prefixKey }

// PrefixTokens returns the estimated length of the prompt's prefix in tokens.
func (q *Request) PrefixTokens() int { return q.prefixTokens }

// PromptTokens returns the estimated length of the prompt in tokens.
func (q *Request) PromptTokens() int { return q.promptTokens }

// Body returns the request body.
func (q *Request) Body() []byte { return q.body }

// Path returns the path and query to send to the upstream.
func (q *Request) Path() string { return q.path }

// Method returns the method to send to the upstream.
func (q *Request) Method() string {
	if q.service.Kind() == inventory.Model {
		return http.MethodPost
	}
	return q.action.Method()
}

// notForwarded lists the header fields that are not forwarded: those of the public API
// and those that belong to the caller's connection.
var notForwarded = []string{
	HeaderWorkspace, HeaderAction, HeaderTier, HeaderDeadline, HeaderRequestID, "Authorization", "Connection",
	"Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Accept-Encoding",
}

// Headers returns the header fields to send to the upstream, in order of name.
func (q *Request) Headers() []Field {
	var out []Field
	for name, values := range q.headers {
		if slices.Contains(notForwarded, name) {
			continue
		}
		for _, value := range values {
			out = append(out, Field{name: name, value: value})
		}
	}
	slices.SortFunc(out, func(a, b Field) int { return strings.Compare(a.name, b.name) })
	return out
}

// Field is one header field.
type Field struct{ name, value string }

// Name returns the field's name.
func (f Field) Name() string { return f.name }

// Value returns the field's value.
func (f Field) Value() string { return f.value }
