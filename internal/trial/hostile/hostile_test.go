package hostile_test

import (
	"encoding/json"
	"flag"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	alone   = flag.Bool("alone", false, "run the tests, which need the machine for themselves")
	program = flag.String("program", "", "path of the program to test; empty builds that of this module")
)

// playTime is how long a crowd sends, and answerTimeout how long an ordinary request may take.
const (
	playTime      = 6 * time.Second
	answerTimeout = 20 * time.Second
)

// scenario is a crowd of callers that do not keep to the limits.
type scenario struct {
	Name string `json:"name"`
	// Guards says which failure the scenario guards against.
	Guards string `json:"guards"`
	// Crowd is the number of connections, which are opened again when they are closed.
	Crowd int     `json:"crowd"`
	Send  []piece `json:"send"`
	// Completes is set if the requests are complete, so that they may run.
	Completes bool `json:"completes"`
	// Unread is set if the answers are not read.
	Unread bool `json:"unread"`
}

// piece is text that a connection sends: once, until that many bytes were sent, or without end.
type piece struct {
	Text    string `json:"text"`
	Bytes   int    `json:"bytes"`
	Endless bool   `json:"endless"`
	PauseMs int    `json:"pause-ms"`
}

func buildProgram(t *testing.T) string {
	if !*alone {
		t.Skip("runs alone: go test ./internal/trial/hostile -args -alone")
	}
	if *program != "" {
		return *program
	}
	binary := filepath.Join(t.TempDir(), "persimmonridge")
	output, err := exec.Command("go", "build", "-o", binary, "../../../cmd/persimmonridge").CombinedOutput() //nolint:gosec // The path is the test's own.
	require.NoError(t, err, "%s", output)
	return binary
}

func readScenarios(t *testing.T) []scenario {
	raw, err := os.ReadFile("testdata/scenarios.json")
	require.NoError(t, err)
	var scenarios []scenario
	require.NoError(t, json.Unmarshal(raw, &scenarios))
	return scenarios
}

// Guards against callers that end a gateway: each scenario names its failure in testdata.
func TestCallersThatDoNotKeepToTheLimits(t *testing.T) {
	binary := buildProgram(t)
	for _, s := range readScenarios(t) {
		t.Run(s.Name, func(t *testing.T) {
			g := startGateway(t, binary)
			usage := g.watch()
			runCrowd(g.callerAddress(), s, time.Now().Add(playTime))
			most := usage.stop()
			t.Logf("%s: %s", s.Guards, most)
			g.requireWithinLimits(most)
			if !s.Completes {
				require.Zero(t, g.upstream.ran(hostileWorkspace), "an incomplete request has run")
			}
			g.requireAnswer(ordinaryRequest())
		})
	}
}

// Guards against limits that refuse a caller who keeps to them: the largest header and the largest
// body are served in calm, at once and in slow pieces, with a length and in chunks.
func TestLargestRequestIsServedInCalm(t *testing.T) {
	g := startGateway(t, buildProgram(t))
	for _, chunked := range []bool{false, true} {
		for _, pause := range []time.Duration{0, 10 * time.Millisecond} {
			r := ordinaryRequest()
			r.header.Set("X-Pad", strings.Repeat("p", maxHeaderBytes-2048))
			r.body, r.chunked, r.pause = strings.Repeat("b", maxBodyBytes), chunked, pause
			g.requireAnswer(r)
		}
	}
	r := ordinaryRequest()
	for len(r.header)*len("X-00000: v\r\n") < maxHeaderBytes-2048 {
		r.header.Set(shortName(len(r.header)), "v")
	}
	g.requireAnswer(r)
	require.Equal(t, maxBodyBytes, g.upstream.longestBody())
}

// Guards against refusals of ordinary callers after the largest requests, several at once, that a
// gateway's memory holds: one workspace may have half of what all may.
func TestSeveralLargestBodiesAreServedAtOnce(t *testing.T) {
	g := startGateway(t, buildProgram(t))
	answers := make(chan int)
	const several = 2
	for range several {
		go func() {
			r := ordinaryRequest()
			r.body = strings.Repeat("b", maxBodyBytes)
			answers <- g.send(r)
		}()
	}
	for range several {
		require.Equal(t, http.StatusOK, <-answers)
	}
}

// crowdOf returns the scenario of the name.
func crowdOf(t *testing.T, name string) scenario {
	for _, s := range readScenarios(t) {
		if s.Name == name {
			return s
		}
	}
	require.Fail(t, "no such scenario", name)
	return scenario{}
}

// Guards against a crowd that keeps a gateway from stopping, so that the platform kills it.
func TestGatewayStopsAmidACrowd(t *testing.T) {
	binary := buildProgram(t)
	for _, name := range []string{"header-byte-by-byte", "body-short-of-its-end", "chunks-of-one-byte", "large-answers-unread", "idle-connections"} {
		t.Run(name, func(t *testing.T) {
			g := startGateway(t, binary)
			usage := g.watch()
			crowd := make(chan struct{})
			go func() {
				runCrowd(g.callerAddress(), crowdOf(t, name), time.Now().Add(playTime))
				close(crowd)
			}()
			<-time.After(playTime / 4)
			require.NoError(t, g.cmd.Process.Signal(syscall.SIGTERM))
			<-g.done
			most := usage.stop()
			require.True(t, g.cmd.ProcessState.Success(), "%v", g.cmd.ProcessState)
			require.LessOrEqual(t, most.memoryMB, memoryMB)
			require.LessOrEqual(t, most.descriptors, maxDescriptors)
			<-crowd
		})
	}
}

// Guards against a change of the limits amid a crowd that the new limits refuse.
func TestLimitsChangeAmidACrowd(t *testing.T) {
	g := startGateway(t, buildProgram(t))
	usage := g.watch()
	crowd := make(chan struct{})
	go func() {
		runCrowd(g.callerAddress(), crowdOf(t, "body-piece-by-piece"), time.Now().Add(playTime))
		close(crowd)
	}()
	for version := 2; version < 8; version++ {
		<-time.After(playTime / 8)
		// The limits shrink to an eighth and grow again.
		g.putConfig(version, maxHeaderBytes>>(version%4), maxBodyBytes>>(version%4))
	}
	<-crowd
	most := usage.stop()
	require.False(t, g.ended())
	require.LessOrEqual(t, most.memoryMB, memoryMB)
	require.LessOrEqual(t, most.descriptors, maxDescriptors)
	g.requireAnswer(ordinaryRequest())
}

// Guards against silent connections to the ports for readiness and metrics that use up the
// descriptors, and keep the platform from asking whether the gateway is ready.
func TestInternalPortsAreBounded(t *testing.T) {
	g := startGateway(t, buildProgram(t))
	usage := g.watch()
	idle := crowdOf(t, "idle-connections")
	idle.Crowd = maxDescriptors
	for _, port := range []string{":8224", ":7610"} {
		runCrowd(g.host+port, idle, time.Now().Add(playTime/2))
	}
	most := usage.stop()
	t.Log(most)
	require.LessOrEqual(t, most.descriptors, maxDescriptors)
	g.awaitReady()
}
