package gateway_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
)

// delayFirstTransaction carries out the first transaction after a delay, when its
// caller has given up waiting, and everything else at once.
func delayFirstTransaction(delay time.Duration, next http.Handler) http.Handler {
	var delayed atomic.Bool
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/-/kv-txn" || delayed.Swap(true) {
			next.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		bubble.Sleep(delay)
		request := r.Clone(context.WithoutCancel(r.Context()))
		request.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(httptest.NewRecorder(), request)
	})
}

// Guards against a live gateway whose registration expires: a write that it had given
// up was carried out after the next one and put the registration under a lease that
// nobody renewed.
func TestRegistrationSurvivesDelayedWrite(t *testing.T) {
	runFleet(t, func(f *fleet) {
		const added = gateways
		f.serve(storeAddress(added), delayFirstTransaction(2*time.Second, f.store))
		f.start(added)
		bubble.Sleep(5 * time.Second)
		first := f.store.Value("gateways/gateway-3")
		bubble.Sleep(30 * time.Second)
		later := f.store.Value("gateways/gateway-3")
		f.stop(added)
		require.NotEmpty(t, first)
		require.Equal(t, first, later)
	})
}
