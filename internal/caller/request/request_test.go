package request_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/examples"
	"github.com/persimmonridge/persimmonridge/internal/caller/refusal"
	"github.com/persimmonridge/persimmonridge/internal/caller/request"
	"github.com/persimmonridge/persimmonridge/internal/config/document"
)

var now = time.Date(2026, 12, 1, 18, 0, 0, 0, time.UTC)

type requestCase struct {
	Name         string            `json:"name"`
	Method       string            `json:"method"`
	Path         string            `json:"path"`
	Headers      map[string]string `json:"headers"`
	Body         string            `json:"body"`
	Refusal      refusal.Kind      `json:"refusal"`
	Action       string            `json:"action"`
	Tier         int               `json:"tier"`
	Keyed        bool              `json:"keyed"`
	UpstreamPath string            `json:"upstream-path"`
}

func cairo(t require.TestingT) document.Document {
	doc, findings := document.Build(examples.CairoInventory, examples.CairoRules)
	require.Empty(t, findings)
	return doc
}

func TestRead(t *testing.T) {
	raw, err := os.ReadFile("testdata/requests.json")
	require.NoError(t, err)
	var cases []requestCase
	require.NoError(t, json.Unmarshal(raw, &cases))
	doc := cairo(t)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			r := httptest.NewRequest(c.Method, c.Path, strings.NewReader(c.Body))
			for name, value := range c.Headers {
				r.Header.Set(name, value)
			}
			q, refused := request.Read(now, "id", r, doc)
			if c.Refusal != "" {
				require.NotNil(t, refused)
				require.Equal(t, c.Refusal, refused.Kind())
				require.Equal(t, refusal.NotRun, refused.Ran())
				return
			}
			require.Nil(t, refused)
			require.Equal(t, c.Action, q.Action().Route())
			require.Equal(t, c.Tier, q.Tier())
			require.Equal(t, c.Keyed, q.Keyed())
			if c.UpstreamPath != "" {
				require.Equal(t, c.UpstreamPath, q.Path())
			}
		})
	}
}

func TestBodyOverTheBoundIsRefused(t *testing.T) {
	r := httptest.NewRequest(http.MethodPost, request.ChatPath, bytes.NewReader(make([]byte, request.MaxBody+1)))
	_, refused := request.Read(now, "id", r, cairo(t))
	require.Equal(t, refusal.TooLarge, refused.Kind())
	require.Equal(t, http.StatusRequestEntityTooLarge, refused.Status())
}

// The same body sent again is the same request, another body is not, and the
// same body for another action is not either.
func TestFingerprint(t *testing.T) {
	read := func(model, content string) uint64 {
		body := `{"model":"` + model + `","messages":[{"role":"user","content":"` + content + `"}]}`
		r := httptest.NewRequest(http.MethodPost, request.ChatPath, strings.NewReader(body))
		r.Header.Set(request.HeaderWorkspace, "front-desk")
		q, refused := request.Read(now, "id", r, cairo(t))
		require.Nil(t, refused)
		return q.Fingerprint()
	}
	require.Equal(t, read("tutor", "a"), read("tutor", "a"))
	require.NotEqual(t, read("tutor", "a"), read("tutor", "b"))
	require.NotEqual(t, read("tutor/critique", "a"), read("tutor/lesson-tag", "a"))
}

func FuzzRead(f *testing.F) {
	doc := cairo(f)
	f.Add("POST", "/v1/chat/completions", "front-desk", "20s", `{"model":"tutor","messages":[{"role":"system","content":"x"}]}`)
	f.Add("GET", "/booking/schedules/a", "front-desk", "", "")
	f.Fuzz(func(t *testing.T, method, path, workspace, deadline, body string) {
		r, err := http.NewRequest(method, "http://x"+path, strings.NewReader(body))
		if err != nil {
			return
		}
		r.Header.Set(request.HeaderWorkspace, workspace)
		r.Header.Set(request.HeaderDeadline, deadline)
		q, refused := request.Read(now, "id", r, doc)
		require.True(t, (q == nil) != (refused == nil))
		if q != nil {
			require.False(t, q.Deadline().Before(now))
		}
	})
}
