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
	t            *testing.T
	binary, name string
	host         string
	// memoryMB and descriptors are the limits in the settings.
	memoryMB, descriptors int
	settingsFile          string
	// storeHost is the host of the store and of the upstream, and of the first gateway.
	storeHost string
	store     *standin.Store
	upstream  *upstream
	cmd       *exec.Cmd
	done      chan struct{}
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
	return startGatewayWith(t, binary, memoryMB, maxDescriptors)
}

// startGatewayWith starts a gateway whose settings state the limits.
func startGatewayWith(t *testing.T, binary string, megabytes, descriptors int) *gateway {
	host := reserveHost(t)
	g := &gateway{
		t: t, binary: binary, name: "gateway-1", host: host, memoryMB: megabytes, descriptors: descriptors, storeHost: host,
		store: standin.NewStore(), upstream: newUpstream(), done: make(chan struct{}),
	}
	g.putConfig(1, maxHeaderBytes, maxBodyBytes)
	serve(t, g.host+":8000", g.store)
	serve(t, g.host+":9000", g.upstream)
	stopHeartbeats := make(chan struct{})
	t.Cleanup(func() { close(stopHeartbeats) })
	go g.heartbeats(stopHeartbeats)
	g.start()
	return g
}

// startPeer starts another gateway with the same store and upstream.
func (g *gateway) startPeer(name string) *gateway {
	p := &gateway{
		t: g.t, binary: g.binary, name: name, host: reserveHost(g.t), memoryMB: g.memoryMB, descriptors: g.descriptors, storeHost: g.storeHost,
		store: g.store, upstream: g.upstream, done: make(chan struct{}),
	}
	p.start()
	return p
}

// start starts the process and waits until it answers.
func (g *gateway) start() {
	t := g.t
	g.settingsFile = filepath.Join(t.TempDir(), "settings.json")
	g.writeSettings()
	log, err := os.Create(filepath.Join(t.TempDir(), "gateway.log"))
	require.NoError(t, err)
	g.cmd = exec.Command(g.binary, "gateway") //nolint:gosec // The binary was built by the test itself.
	g.cmd.Env = append(os.Environ(), "PERSIMMONRIDGE_NODE_FILE="+g.settingsFile)
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
}

func (g *gateway) writeSettings() {
	require.NoError(g.t, os.WriteFile(g.settingsFile, []byte(g.settings()), 0o600))
}

// settings returns the settings file, with the fewest of the platform's additions to its rules.
func (g *gateway) settings() string {
	return fmt.Sprintf(`{"nodeName":%q,"zone":"a","ip":%q,"bootstrap":true,
		"listen":{"frontend":"%[2]s:8221","readiness":"%[2]s:8224","control":"%[2]s:8229"},
		"internalPortRange":[7600,7615],"seeds":["%[3]s:8229"],"contracts":["base"],
		"limits":{"memoryMb":%[4]d,"maxFds":%[5]d,"cpuShare":0.304,"cpuCores":1,"linkMbps":100000},
		"bounds":{"graceS":%[6]d,"configApplyMs":2000,"retryBudgetRatio":0.2,"retryBudgetSlack":50,"budgetWindowS":10},
		"platform":{"address":"%[3]s:8000"}}`, g.name, g.host, g.storeHost, g.memoryMB, g.descriptors, graceSeconds)
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

// linkAddress is the address for other gateways.
func (g *gateway) linkAddress() string { return g.host + ":8229" }

// metric returns the value of a metric without labels, or -1.
func (g *gateway) metric(name string) float64 {
	response, err := http.Get("http://" + g.host + ":7610/metrics")
	if err != nil {
		return -1
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return -1
	}
	for line := range strings.Lines(string(raw)) {
		if text, found := strings.CutPrefix(line, name+" "); found {
			if value, err := strconv.ParseFloat(strings.TrimSpace(text), 64); err == nil {
				return value
			}
		}
	}
	return -1
}

// awaitMetric waits until a metric has the value.
func (g *gateway) awaitMetric(name string, value float64) {
	g.t.Helper()
	require.Eventually(g.t, func() bool { return g.metric(name) == value }, answerTimeout, 50*time.Millisecond, "%s of %s", name, g.name)
}

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
