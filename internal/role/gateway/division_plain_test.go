package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
)

const (
	// dividedPlainUpstreams upstreams of dividedPlainSlots slots work for dividedPlainWork on each request and have
	// a queue of dividedPlainQueue requests. The work takes longer than usual so that fewer calls
	// are needed to fill them.
	dividedPlainUpstreams = 3
	dividedPlainSlots     = 6
	dividedPlainQueue     = 4 * dividedPlainSlots
	dividedPlainWork      = 300 * time.Millisecond
)

// putDividedPlainConfig puts a configuration with four workspaces and a plain service.
func (f *fleet) putDividedPlainConfig() {
	var tenants []string
	for _, key := range dividedWorkspaces {
		tenants = append(tenants, fmt.Sprintf(`{"name":"workspace-%s","apiKeys":[%q]}`, key, key))
	}
	for i := range dividedPlainUpstreams {
		address := fmt.Sprintf("10.0.3.%d:80", i+1)
		f.serve(address, f.plainUpstream(address))
		f.store.Put("servers/plain-"+strconv.Itoa(i), fmt.Sprintf(
			`{"service":"plain","address":%q,"zone":"a","version":"v1","slots":%d,"state":"ready"}`, address, dividedPlainSlots))
	}
	f.store.Put("op/config", fmt.Sprintf(`{"version":2,
		"routes":[{"name":"r","hostname":"h","prefix":"/old/","kind":"idempotent","timeoutMs":15000,"targetLatencyMs":600,
			"service":"plain","maxAttempts":2}],
		"services":[{"name":"plain","slots":%d}],
		"limits":{"maxBodyBytes":4194304,"idleTimeoutMs":15000},
		"tenants":[%s]}`, dividedPlainSlots, strings.Join(tenants, ",")))
	bubble.Sleep(2 * time.Second)
}

// plainUpstream works on as many requests as it has slots, queues some and declines the others.
func (f *fleet) plainUpstream(name string) http.Handler {
	slots := make(chan struct{}, dividedPlainSlots)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		present := f.running[name]
		declined := present >= dividedPlainSlots+dividedPlainQueue
		if !declined {
			f.running[name]++
		}
		f.mu.Unlock()
		w.Header().Set(attemptIDHeader, r.Header.Get(attemptIDHeader))
		w.Header().Set(loadHeader, fmt.Sprintf("%d,%d,%d", min(present, dividedPlainSlots), max(0, present-dividedPlainSlots), dividedPlainSlots))
		if declined {
			w.Header().Set(notExecutedHeader, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		slots <- struct{}{}
		bubble.Sleep(dividedPlainWork)
		<-slots
		f.mu.Lock()
		f.running[name]--
		f.mu.Unlock()
		w.Header().Set(sealHeader, "s")
		_, _ = w.Write([]byte("x"))
	})
}

// Guards against a workspace that takes nearly all of a plain service, whose upstreams each
// gateway chooses by itself, because it sends most requests.
func TestGatewaysDividePlainServicesAmongWorkspaces(t *testing.T) {
	for name, called := range map[string][]int{"callers spread": allGateways, "callers at one gateway": oneGateway} {
		t.Run(name, func(t *testing.T) {
			t.Run("one overloads", func(t *testing.T) { requireDivides(t, plainService, onePlainOverloads, called, noFault, "b", "c", "d") })
			t.Run("two overload", func(t *testing.T) { requireDivides(t, plainService, twoPlainOverload, called, noFault, "c", "d") })
		})
	}
}

var plainService = dividedService{(*fleet).putDividedPlainConfig, dividedPlainUpstreams * (dividedPlainSlots + dividedPlainQueue), false}

// The requests are three times as many as the upstreams serve.
var (
	onePlainOverloads = []float64{144, 12, 12, 12}
	twoPlainOverload  = []float64{90, 54, 12, 12}
)
