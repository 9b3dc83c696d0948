package flow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a slot request that states only the maximum of a stream whose length is estimated.
func TestStreamPlannedByItsMaximumStatesItsEstimateToo(t *testing.T) {
	for _, s := range []struct {
		stopCase
		estimated int
	}{
		{stopCase{name: "early, others accept", arrives: time.Second, hint: testHint, othersAccept: true}, testHint},
		{stopCase{name: "late", arrives: 3 * time.Second, hint: testHint}, testHint},
		{stopCase{name: "late, no hint", arrives: 3 * time.Second}, testMax},
		{stopCase{name: "early, planned by the estimate", arrives: time.Second, hint: testHint}, 0},
		{stopCase{name: "ends before the exit", arrives: 3 * time.Second, hint: testHint, timeout: time.Second}, 0},
	} {
		t.Run(s.name, func(t *testing.T) {
			_, req, _ := s.plan(t)
			require.Equal(t, s.estimated, req.EstimatedTokens)
		})
	}
}

// Guards against a slot request that states only the estimate of a stream whose maximum is known.
func TestStreamPlannedByItsEstimateStatesItsMaximumToo(t *testing.T) {
	for _, s := range []struct {
		stopCase
		maximum int
	}{
		{stopCase{name: "early", arrives: time.Second, hint: testHint}, testMax},
		{stopCase{name: "early, no hint", arrives: time.Second}, testMax},
		{stopCase{name: "early, planned by the maximum", arrives: time.Second, hint: testHint, othersAccept: true}, 0},
		{stopCase{name: "late", arrives: 3 * time.Second, hint: testHint}, 0},
		{stopCase{name: "ends before the exit", arrives: time.Second, hint: testHint, timeout: time.Second}, 0},
	} {
		t.Run(s.name, func(t *testing.T) {
			_, req, _ := s.plan(t)
			require.Equal(t, s.maximum, req.MaxTokens)
		})
	}
}
