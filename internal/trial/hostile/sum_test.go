package hostile_test

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// manyDescriptors is what the largest VMs have, so that memory alone bounds the connections.
	manyDescriptors = 8192
	// manyConnections are more than a gateway with memoryMB may have.
	manyConnections = 1000
	// mixedCrowd is the number of connections of each scenario when all run at once.
	mixedCrowd = 60
)

// runMixedCrowd runs all scenarios at once.
func runMixedCrowd(t *testing.T, address string, until time.Time) {
	var crowds sync.WaitGroup
	for _, s := range readScenarios(t) {
		s.Crowd = mixedCrowd
		crowds.Go(func() { runCrowd(address, s, until) })
	}
	crowds.Wait()
}

// Guards against bounds that each hold for one thing that callers make a gateway hold, and whose
// sum is more than its memory: headers, bodies, answers, connections and what the kernel holds.
func TestAllThatCallersHoldIsBoundedTogether(t *testing.T) {
	g := startGatewayWith(t, buildProgram(t), memoryMB, manyDescriptors)
	g.requireHolds(func() { runMixedCrowd(t, g.callerAddress(), time.Now().Add(playTime)) })
}

// Guards against connections whose buffers are full in both directions, as many as the memory
// allows, and answers that each may hold a little whatever the others hold.
func TestConnectionsThatHoldTheMostAreBounded(t *testing.T) {
	binary := buildProgram(t)
	for _, name := range []string{"pipelined-requests-without-readers", "large-answers-unread", "body-short-of-its-end", "header-of-short-lines-within-the-limit", "idle-connections"} {
		t.Run(name, func(t *testing.T) {
			g := startGatewayWith(t, binary, memoryMB, manyDescriptors)
			crowd := crowdOf(t, name)
			crowd.Crowd = manyConnections
			g.requireHolds(func() { runCrowd(g.callerAddress(), crowd, time.Now().Add(playTime)) })
		})
	}
}

// Guards against answers that many callers ask for again on each connection and do not read.
func TestPipelinedLargeAnswersAreBounded(t *testing.T) {
	g := startGatewayWith(t, buildProgram(t), memoryMB, manyDescriptors)
	crowd := crowdOf(t, "large-answers-unread")
	crowd.Crowd = manyConnections
	crowd.Send = append(crowd.Send, piece{Text: crowd.Send[0].Text, Endless: true})
	g.requireHolds(func() { runCrowd(g.callerAddress(), crowd, time.Now().Add(playTime)) })
	require.NotZero(t, g.upstream.ran(hostileWorkspace))
}

// Guards against a memory limit that shrinks while the process runs and binds a part of it only: the
// account of callers, but not the garbage beside it.
func TestMemoryFollowsChangedSettings(t *testing.T) {
	g := startGatewayWith(t, buildProgram(t), 8*memoryMB, maxDescriptors)
	g.memoryMB = memoryMB
	g.writeSettings()
	require.NoError(t, g.cmd.Process.Signal(syscall.SIGHUP))
	g.awaitMetric("persimmonridge_memory_limit_bytes", float64(g.memoryMB<<20/4))
	require.LessOrEqual(t, g.metric("go_gc_gomemlimit_bytes"), float64(g.memoryMB<<20), "memory limit of the runtime")
	g.requireHolds(func() { runMixedCrowd(t, g.callerAddress(), time.Now().Add(playTime)) })
}
