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

func cairoDocument(t require.TestingT) document.Document {
	doc, findings := document.Build(examples.CairoInventory, examples.CairoRules)
	require.Empty(t, findings)
	return doc
}

func TestRead(t *testing.T) {
	raw, err := os.ReadFile("testdata/requests.json")
	require.NoError(t, err)
	var cases []requestCase
	require.NoError(t, json.Unmarshal(raw, &cases))
	doc := cairoDocument(t)
	for _, tc := range cases {
		t.Run(tc.Name, func(t *testing.T) {
			r := httptest.NewRequest(tc.Method, tc.Path, strings.NewReader(tc.Body))
			for name, value := range tc.Headers {
				r.Header.Set(name, value)
			}
			q, refused := request.Read(now, "id", r, doc)
			if tc.Refusal != "" {
				require.NotNil(t, refused)
				require.Equal(t, tc.Refusal, refused.Kind())
				require.Equal(t, refusal.NotRun, refused.Ran())
				return
			}
			require.Nil(t, refused)
			require.Equal(t, tc.Action, q.Action().Route())
			require.Equal(t, tc.Tier, q.Tier())
			require.Equal(t, tc.Keyed, q.Keyed())
			if tc.UpstreamPath != "" {
				require.Equal(t, tc.UpstreamPath, q.Path())
			}
		})
	}
}

func TestTooLargeBodyIsRefused(t *testing.T) {
	r := httptest.NewRequest(http.MethodPost, request.ChatPath, bytes.NewReader(make([]byte, request.MaxBodyBytes+1)))
	_, refused := request.Read(now, "id", r, cairoDocument(t))
	require.Equal(t, refusal.TooLarge, refused.Kind())
	require.Equal(t, http.StatusRequestEntityTooLarge, refused.Status())
}

// Equal bodies have the same fingerprint; another body or another action gives
// another fingerprint.
func TestFingerprint(t *testing.T) {
	read := func(model, content string) uint64 {
		body := `{"model":"` + model + `","messages":[{"role":"user","content":"` + content + `"}]}`
		r := httptest.NewRequest(http.MethodPost, request.ChatPath, strings.NewReader(body))
		r.Header.Set(request.HeaderWorkspace, "front-desk")
		q, refused := request.Read(now, "id", r, cairoDocument(t))
		require.Nil(t, refused)
		return q.Fingerprint()
	}
	require.Equal(t, read("tutor", "a"), read("tutor", "a"))
	require.NotEqual(t, read("tutor", "a"), read("tutor", "b"))
	require.NotEqual(t, read("tutor/critique", "a"), read("tutor/lesson-tag", "a"))
}

func FuzzRead(f *testing.F) {
	doc := cairoDocument(f)
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
