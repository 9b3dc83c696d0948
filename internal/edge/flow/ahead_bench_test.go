package flow_test

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/limit/memory"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
	"github.com/persimmonridge/persimmonridge/platform"
)

// BenchmarkStreamEvent measures one event of 60 bytes from an upstream to a caller who reads
// at once, over loopback, with and without a memory account.
func BenchmarkStreamEvent(b *testing.B) {
	for name, limit := range map[string]int64{"plain": 0, "account": ampleMemory} {
		b.Run(name, func(b *testing.B) { benchmarkStream(b, limit) })
	}
}

func benchmarkStream(b *testing.B, limit int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	defer func() { _ = listener.Close() }()
	events := b.N
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		writer := bufio.NewWriterSize(conn, 64<<10)
		_, _ = fmt.Fprintf(writer, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n\r\n", idHeader, request.Header.Get(idHeader), sealHeader)
		for i := range events {
			_, _ = fmt.Fprintf(writer, "id: %d\ndata: %040d\n\n", i, i)
		}
		_ = writer.Flush()
	}()
	f := &fixture{retryBudget: 10, upstreams: []roster.Upstream{{ID: "one", Service: "s", Address: listener.Addr().String()}}}
	current := catalog.New(catalog.Content{
		Version: 1, Services: []catalog.Service{{Name: "s"}},
		Routes: []catalog.Route{{
			Name: "long", Host: "h", Prefix: "/long/", Kind: catalog.Streaming, Timeout: time.Hour, MaxAttempts: 1, Public: true,
			Targets: []catalog.Target{{Service: "s", Weight: 1}},
		}},
	})
	pool := exchange.NewPool(new(net.Dialer).DialContext)
	defer func() { _ = pool.Close() }()
	server := httptest.NewServer(flow.New(flow.Dependencies{
		Headers: platform.Headers{}, Client: exchange.NewClient(pool, platform.AnswerHeaders(), time.Now),
		Catalog: func() *catalog.Catalog { return current }, Picker: f, Quota: f, Retries: retries{f}, Crashes: f, Metrics: metrics{},
		Logger: slog.New(slog.DiscardHandler), Now: time.Now, ShutdownStatus: f.shutdown, Memory: memory.New(limit, nil),
	}))
	defer server.Close()
	request, err := http.NewRequest(http.MethodPost, server.URL+"/long/x", nil)
	require.NoError(b, err)
	request.Host = "h"
	request.Header.Set(idHeader, "r1")
	b.ResetTimer()
	response, err := server.Client().Do(request)
	require.NoError(b, err)
	read, err := io.Copy(io.Discard, response.Body)
	require.NoError(b, err)
	require.Greater(b, read, int64(40*events))
	require.NoError(b, response.Body.Close())
}

// BenchmarkTimerReset measures what the account adds to an event beyond two mutexes: the
// timer that would notice a blocked write is set and stopped.
func BenchmarkTimerReset(b *testing.B) {
	timer := time.AfterFunc(time.Hour, func() {})
	defer timer.Stop()
	for range b.N {
		timer.Reset(250 * time.Millisecond)
		timer.Stop()
	}
}
