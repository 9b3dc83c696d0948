// Package request reads what a caller asks for: workspace, service, action,
// tier, deadline, idempotency key, and the marks by which a body is known
// again. Whatever is unknown or ill-formed is refused here, before anything
// else is done.
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

// Header fields of the callers' interface.
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
	// MaxBody bounds a request's body.
	MaxBody = 1 << 20
	// maxKey bounds an idempotency key.
	maxKey = 255
	// longestDeadline bounds what a caller may ask for.
	longestDeadline = 5 * time.Minute
	// prefixBytes is how much of a prompt without a system message makes its
	// prefix.
	prefixBytes = 256
	// bytesPerToken is the usual length of a token of text.
	bytesPerToken = 4
)

// Request is one caller's request, complete and checked.
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

// Read checks a caller's request against the configuration in force.
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
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, MaxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refusal.New(refusal.TooLarge, refusal.NotRun, "the body is over "+strconv.Itoa(MaxBody)+" bytes", "send a smaller one")
	}
	if err != nil {
		return nil, refusal.New(refusal.BadRequest, refusal.NotRun, "the body could not be read", "send the request again")
	}
	return body, nil
}

// chat is what is read of an OpenAI-style body.
type chat struct {
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
		if action.Method() == r.Method && matches(action.Path(), "/"+rest) {
			q.action = action
			return nil
		}
	}
	return refusal.New(refusal.UnknownName, refusal.NotRun, "service "+name+" has no action for "+r.Method+" /"+rest, "use a method and path of the inventory")
}

// matches compares path and pattern by segment; a segment in braces stands for
// any one.
func matches(pattern, path string) bool {
	want, have := strings.Split(pattern, "/"), strings.Split(path, "/")
	if len(want) != len(have) {
		return false
	}
	for i := range want {
		open := strings.HasPrefix(want[i], "{") && strings.HasSuffix(want[i], "}")
		if want[i] == have[i] || open && have[i] != "" {
			continue
		}
		return false
	}
	return true
}

// readChat takes the service, and the action if given, from the model's name:
// "tutor" or "tutor/critique". Ordinary clients need nothing else.
func (q *Request) readChat(r *http.Request, doc document.Document) *refusal.Refusal {
	if r.Method != http.MethodPost {
		return refusal.New(refusal.BadRequest, refusal.NotRun, ChatPath+" takes POST", "use POST")
	}
	var c chat
	if err := json.Unmarshal(q.body, &c); err != nil || c.Model == "" || len(c.Messages) == 0 {
		return refusal.New(refusal.BadRequest, refusal.NotRun, "the body is not a chat completion with model and messages", "send JSON as the published interface describes")
	}
	name, actionName, _ := strings.Cut(c.Model, "/")
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
	q.prefixKey, q.prefixTokens = prefixOf(c)
	q.promptTokens = max(len(q.body)/bytesPerToken, 1)
	return nil
}

// prefixOf takes a leading system message as the prefix, since those are what
// prompts share; without one, the beginning of the first message.
func prefixOf(c chat) (key uint64, tokens int) {
	shared := c.Messages[0].Content
	if c.Messages[0].Role != "system" {
		shared = shared[:min(len(shared), prefixBytes)]
	}
	return xxhash.Sum64(shared), len(shared) / bytesPerToken
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
			return refusal.New(refusal.BadRequest, refusal.NotRun, "tier "+given+" is higher than the rules give "+q.action.Route(), "leave "+HeaderTier+" out or name a lower tier")
		}
		q.tier = tier
	}
	if given := r.Header.Get(HeaderDeadline); given != "" {
		d, err := time.ParseDuration(given)
		if err != nil || d <= 0 || d > longestDeadline {
			return refusal.New(refusal.BadRequest, refusal.NotRun, HeaderDeadline+" is not a duration up to "+longestDeadline.String(), `write one such as "20s"`)
		}
		q.deadline = q.arrived.Add(d)
	}
	if rule.KeyRequired() && q.key == "" {
		return refusal.New(refusal.KeyRequired, refusal.NotRun, q.action.Route()+" needs an "+HeaderKey, "send one that names the action, the same at each try")
	}
	return nil
}

func (q *Request) readKey(*http.Request, document.Document) *refusal.Refusal {
	printable := func(c rune) bool { return c > ' ' && c < 0x7f }
	if len(q.key) > maxKey || strings.ContainsFunc(q.key, func(c rune) bool { return !printable(c) }) {
		return refusal.New(refusal.BadRequest, refusal.NotRun, HeaderKey+" is over 255 characters or not plain ASCII", "send a shorter, plain one")
	}
	return nil
}

// ID returns the request's id, unique in the fleet.
func (q *Request) ID() string { return q.id }

// Workspace returns who sent it.
func (q *Request) Workspace() string { return q.workspace }

// Large tells whether the workspace brings much of the traffic.
func (q *Request) Large() bool { return q.large }

// Service returns the service asked for.
func (q *Request) Service() inventory.Service { return q.service }

// Action returns the action asked for.
func (q *Request) Action() inventory.Action { return q.action }

// Tier returns its tier, 0 being the highest.
func (q *Request) Tier() int { return q.tier }

// Arrived returns when it arrived.
func (q *Request) Arrived() time.Time { return q.arrived }

// Deadline returns until when the answer is in time.
func (q *Request) Deadline() time.Time { return q.deadline }

// RepeatSafe tells whether a lost run may be run again.
func (q *Request) RepeatSafe() bool { return q.repeatSafe }

// Keyed tells whether the request is a non-idempotent action with a key, which
// is claimed before it is dispatched.
func (q *Request) Keyed() bool { return q.key != "" && !q.repeatSafe }

// ClaimKey returns the name of the action across resends.
func (q *Request) ClaimKey() string { return q.workspace + "/" + q.action.Route() + "/" + q.key }

// Fingerprint identifies the body and action.
func (q *Request) Fingerprint() uint64 { return q.fingerprint }

// PrefixKey identifies the prompt's prefix.
func (q *Request) PrefixKey() uint64 { return q.prefixKey }

// PrefixTokens returns the prefix's estimated length.
func (q *Request) PrefixTokens() int { return q.prefixTokens }

// PromptTokens returns the prompt's estimated length.
func (q *Request) PromptTokens() int { return q.promptTokens }

// Body returns the body.
func (q *Request) Body() []byte { return q.body }

// Path returns the path and query as the upstream shall see them.
func (q *Request) Path() string { return q.path }

// Method returns the method as the upstream shall see it.
func (q *Request) Method() string {
	if q.service.Kind() == inventory.Model {
		return http.MethodPost
	}
	return q.action.Method()
}

// dropped are fields that are ours, or belong to the caller's connection.
var dropped = []string{
	HeaderWorkspace, HeaderAction, HeaderTier, HeaderDeadline, HeaderRequestID, "Authorization", "Connection",
	"Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Accept-Encoding",
}

// Headers returns the fields that the upstream shall see, in order of name.
func (q *Request) Headers() []Field {
	var out []Field
	for name, values := range q.headers {
		if slices.Contains(dropped, name) {
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
