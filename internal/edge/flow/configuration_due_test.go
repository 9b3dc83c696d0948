package flow_test

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
	"github.com/persimmonridge/persimmonridge/platform"
)

// Guards against requests that are refused just before the first configuration arrives, or
// wait for it longer than a quarter of the time that their callers do.
func TestRequestWaitsForTheFirstConfiguration(t *testing.T) {
	for name, test := range map[string]struct {
		due        bool
		comesAfter time.Duration
		// status is 404 once there is a configuration: it has no routes.
		status int
		took   time.Duration
	}{
		"it comes":                {due: true, comesAfter: 50 * time.Millisecond, status: http.StatusNotFound, took: 50 * time.Millisecond},
		"it does not come":        {due: true, comesAfter: time.Minute, status: http.StatusServiceUnavailable, took: 250 * time.Millisecond},
		"the process is not new":  {comesAfter: 50 * time.Millisecond, status: http.StatusServiceUnavailable},
		"it was there from first": {due: true, status: http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				start := time.Now()
				handler := flow.New(flow.Dependencies{
					Headers: platform.Headers{}, Metrics: metrics{}, Logger: slog.New(slog.DiscardHandler), Now: time.Now,
					Catalog: func() *catalog.Catalog {
						if time.Since(start) < test.comesAfter {
							return nil
						}
						return catalog.New(catalog.Content{Version: 1})
					},
					ShutdownStatus:   func() (since, until time.Time, leaving bool) { return },
					ConfigurationDue: func(time.Time) bool { return test.due },
				})
				request := httptest.NewRequest(http.MethodGet, "http://h/x", nil)
				request.Header.Set(idHeader, "1")
				request.Header.Set("X-Persimmonridge-Deadline-Ms", "1000")
				response := httptest.NewRecorder()
				handler.ServeHTTP(response, request)
				require.Equal(t, test.status, response.Code)
				require.Equal(t, test.took, time.Since(start))
			})
		})
	}
}
