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

// lateWrite carries out the first transaction late, when its caller has given
// it up, and all else at once.
func lateWrite(by time.Duration, next http.Handler) http.Handler {
	var done atomic.Bool
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/-/kv-txn" || done.Swap(true) {
			next.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		bubble.Pass(by)
		again := r.Clone(context.WithoutCancel(r.Context()))
		again.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(httptest.NewRecorder(), again)
	})
}

// Guards against a gateway that lives and is not listed: a write that it had
// given up was carried out after the next one and put its listing under a lease
// that nobody renewed.
func TestListingOutlivesAWriteThatIsCarriedOutLate(t *testing.T) {
	play(t, func(f *fleet) {
		const late = gateways
		f.serve(storeAt(late), lateWrite(2*time.Second, f.store))
		f.start(late)
		bubble.Pass(5 * time.Second)
		listed := f.store.Value("gateways/gateway-3")
		bubble.Pass(30 * time.Second)
		still := f.store.Value("gateways/gateway-3")
		f.stop(late)
		require.NotEmpty(t, listed)
		require.Equal(t, listed, still)
	})
}
