package hostile_test

import (
	"testing"
	"time"
)

// Guards against a crowd at one gateway that keeps it from its duties in the fleet, or takes others
// with it: all answer and hear each other afterwards, and have the configuration that came meanwhile.
func TestCrowdAtOneGatewayLeavesTheFleetWhole(t *testing.T) {
	binary := buildProgram(t)
	for _, name := range []string{"body-short-of-its-end", "chunks-of-one-byte", "header-of-short-lines", "idle-connections", "large-answers-unread"} {
		t.Run(name, func(t *testing.T) {
			first := startGateway(t, binary)
			fleet := []*gateway{first, first.startPeer("gateway-2"), first.startPeer("gateway-3")}
			usage := first.watch()
			crowd := make(chan struct{})
			go func() {
				defer close(crowd)
				runCrowd(first.callerAddress(), crowdOf(t, name), time.Now().Add(playTime))
			}()
			<-time.After(playTime / 2)
			const version = 7
			first.putConfig(version, maxHeaderBytes, maxBodyBytes)
			<-crowd
			most := usage.stop()
			t.Log(most)
			first.requireWithinLimits(most)
			for _, g := range fleet {
				g.requireAnswer(ordinaryRequest())
				g.awaitMetric("persimmonridge_configuration_version", version)
				g.awaitMetric("persimmonridge_gateways_heard", float64(len(fleet)))
			}
		})
	}
}
