package hostile_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/platform"
	"github.com/persimmonridge/persimmonridge/platform/standin"
)

// Limits of the settings and of the configuration.
const (
	memoryMB       = 96
	maxDescriptors = 600
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 4 << 20
	headerTimeout  = 3 * time.Second
	idleTimeout    = 10 * time.Second
	// routeTimeout is long enough for the largest body in slow pieces.
	routeTimeout = 4 * time.Second
	graceSeconds = 4
)

const (
	hostileWorkspace  = "hostile"
	ordinaryWorkspace = "ordinary"
	workspaceHeader   = "X-Persimmonridge-Tenant"
	attemptHeader     = "X-Persimmonridge-Attempt-Id"
	keyHeader         = "Api-Key"
)

// gateway is a gateway's process with a stand-in of the store and one upstream.
type gateway struct {
	t        *testing.T
	host     string
	store    *standin.Store
	upstream *upstream
	cmd      *exec.Cmd
	done     chan struct{}
}

// reserveHost returns a loopback address that no other test uses.
func reserveHost(t *testing.T) string {
	for i := range 60_000 {
		host := fmt.Sprintf("127.231.%d.%d", 1+(os.Getpid()+i)%250, 1+i/250%250)
		listener, err := net.Listen("tcp", host+":7999")
		if err == nil {
			t.Cleanup(func() { _ = listener.Close() })
			return host
		}
	}
	require.Fail(t, "no loopback address is free")
	return ""
}

// serve serves HTTP on a port of the host until the test ends.
func serve(t *testing.T, address string, handler http.Handler) {
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
}

func startGateway(t *testing.T, binary string) *gateway {
	g := &gateway{t: t, host: reserveHost(t), store: standin.NewStore(), upstream: newUpstream(), done: make(chan struct{})}
	g.putConfig(1, maxHeaderBytes, maxBodyBytes)
	serve(t, g.host+":8000", g.store)
	serve(t, g.host+":9000", g.upstream)
	stopHeartbeats := make(chan struct{})
	t.Cleanup(func() { close(stopHeartbeats) })
	go g.heartbeats(stopHeartbeats)
	settings := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(settings, []byte(g.settings()), 0o600))
	log, err := os.Create(filepath.Join(t.TempDir(), "gateway.log"))
	require.NoError(t, err)
	g.cmd = exec.Command(binary, "gateway") //nolint:gosec // The binary was built by the test itself.
	g.cmd.Env = append(os.Environ(), "PERSIMMONRIDGE_NODE_FILE="+settings)
	g.cmd.Stdout, g.cmd.Stderr = log, log
	require.NoError(t, g.cmd.Start())
	go func() {
		_ = g.cmd.Wait()
		close(g.done)
	}()
	t.Cleanup(func() {
		_ = g.cmd.Process.Signal(syscall.SIGKILL)
		<-g.done
		_ = log.Close()
	})
	g.awaitReady()
	return g
}

// settings returns the settings file, with the fewest of the platform's additions to its rules.
func (g *gateway) settings() string {
	return fmt.Sprintf(`{"nodeName":"gateway-1","zone":"a","ip":%q,"bootstrap":true,
		"listen":{"frontend":"%[1]s:8221","readiness":"%[1]s:8224","control":"%[1]s:8229"},
		"internalPortRange":[7600,7615],"seeds":["%[1]s:8229"],"contracts":["base"],
		"limits":{"memoryMb":%[2]d,"maxFds":%[3]d,"cpuShare":0.304,"cpuCores":1,"linkMbps":100000},
		"bounds":{"graceS":%[4]d,"configApplyMs":2000,"retryBudgetRatio":0.2,"retryBudgetSlack":50,"budgetWindowS":10},
		"platform":{"address":"%[1]s:8000"}}`, g.host, memoryMB, maxDescriptors, graceSeconds)
}

func (g *gateway) putConfig(version, headerBytes, bodyBytes int) {
	g.store.Put(platform.ConfigPrefix, fmt.Sprintf(`{"version":%d,"routes":[{"name":"plain","hostname":"h","prefix":"/plain/","kind":"non_idempotent",
		"timeoutMs":%d,"targetLatencyMs":500,"service":"plain","maxAttempts":1}],"services":[{"name":"plain"}],
		"limits":{"maxHeaderBytes":%d,"maxBodyBytes":%d,"headerTimeoutMs":%d,"idleTimeoutMs":%d},
		"tenants":[{"name":%q,"apiKeys":["hostile-key"]},{"name":"second","apiKeys":["second-key"]},
		{"name":"third","apiKeys":["third-key"]},{"name":%q,"apiKeys":["ordinary-key"]}]}`,
		version, routeTimeout.Milliseconds(), headerBytes, bodyBytes, headerTimeout.Milliseconds(), idleTimeout.Milliseconds(),
		hostileWorkspace, ordinaryWorkspace))
}

func (g *gateway) callerAddress() string { return g.host + ":8221" }

func (g *gateway) heartbeats(stop <-chan struct{}) {
	for sequence := 1; ; sequence++ {
		g.store.Put(platform.UpstreamPrefix+"plain-1", fmt.Sprintf(
			`{"service":"plain","address":"%s:9000","zone":"a","version":"v1","slots":8,"state":"ready","sequence":%d,"born":1}`, g.host, sequence))
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

func (g *gateway) awaitReady() {
	require.Eventually(g.t, func() bool {
		response, err := http.Get("http://" + g.host + ":8224/-/ready")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, answerTimeout, 20*time.Millisecond)
	g.requireAnswer(ordinaryRequest())
}

// ended reports whether the process has ended.
func (g *gateway) ended() bool {
	select {
	case <-g.done:
		return true
	default:
		return false
	}
}

// request is a request of a caller that keeps to the limits.
type request struct {
	header  http.Header
	body    string
	chunked bool
	// pause is made between pieces of the body.
	pause time.Duration
}

func ordinaryRequest() request {
	return request{header: http.Header{keyHeader: {"ordinary-key"}, attemptHeader: {fmt.Sprintf("%016x", time.Now().UnixNano())}}, body: strings.Repeat("q", 600)}
}

// slowReader reads text in pieces, with a pause before each.
type slowReader struct {
	rest  *strings.Reader
	pause time.Duration
}

// Read implements io.Reader.
func (s *slowReader) Read(p []byte) (int, error) {
	if s.pause > 0 {
		<-time.After(s.pause)
	}
	return s.rest.Read(p[:min(len(p), 64<<10)])
}

// send sends a request on a connection of its own and returns the answer's status, or 0.
func (g *gateway) send(r request) int {
	var body io.Reader = &slowReader{rest: strings.NewReader(r.body), pause: r.pause}
	q, err := http.NewRequest(http.MethodPost, "http://"+g.callerAddress()+"/plain/ask", body)
	require.NoError(g.t, err)
	q.Host, q.Header = "h", r.header
	if !r.chunked {
		q.ContentLength = int64(len(r.body))
	}
	client := http.Client{Timeout: answerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(q)
	if err != nil {
		g.t.Log("request failed:", err)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

func (g *gateway) requireAnswer(r request) {
	g.t.Helper()
	require.Equal(g.t, http.StatusOK, g.send(r))
}

// largeAnswerPath is answered with largeAnswer.
const largeAnswerPath = "/plain/large"

var largeAnswer = strings.Repeat("a", 4<<20)

// upstream answers all requests and counts them by workspace.
type upstream struct {
	mu       sync.Mutex
	requests map[string]int
	longest  int
}

func newUpstream() *upstream { return &upstream{requests: make(map[string]int)} }

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	names := platform.AnswerHeaders()
	w.Header().Set(names.RequestID, r.Header.Get(attemptHeader))
	var body bytes.Buffer
	if _, err := body.ReadFrom(r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	u.mu.Lock()
	u.requests[r.Header.Get(workspaceHeader)]++
	u.longest = max(u.longest, body.Len())
	u.mu.Unlock()
	w.Header().Set(names.Seal, "seal")
	if r.URL.Path == largeAnswerPath {
		w.Header().Set("Content-Length", strconv.Itoa(len(largeAnswer)))
		_, _ = io.WriteString(w, largeAnswer)
		return
	}
	_, _ = io.WriteString(w, "done")
}

func (u *upstream) ran(workspace string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.requests[workspace]
}

func (u *upstream) longestBody() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.longest
}
