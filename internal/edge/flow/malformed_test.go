package flow_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/heads"
)

// headLines are the header lines of the heads that tests send.
var headLines = heads.Lines{
	ID: idHeader + ": r1", OtherID: idHeader + ": r0", Seal: sealHeader + ": s",
	NotExecuted: "X-Persimmonridge-Not-Executed: 1", Load: "X-Persimmonridge-Instance-Load: 3,1,12",
}

// requireNoCallerGets makes requests of all kinds to upstreams that answer with one of the texts
// each.
func requireNoCallerGets(t *testing.T, texts map[string]string) {
	t.Helper()
	for name, text := range texts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			f.useMemory()
			f.requireNoCallerTakesForWhole(text)
		})
	}
}

// Guards against an answer whose status is none that reaches a caller as an answer, with the bytes
// of another answer in its body, or as a promise that nothing ran.
func TestAnswerWithoutAStatusReachesNoCaller(t *testing.T) {
	requireNoCallerGets(t, heads.UnknownStatuses(headLines))
}

// Guards against an answer with a line that is no header field which reaches a caller without that
// line, with a body that is not its upstream's, or as a promise that nothing ran.
func TestAnswerWithALineThatIsNoFieldReachesNoCaller(t *testing.T) {
	requireNoCallerGets(t, heads.BadLines(headLines))
}

// Guards against the bytes of chunks that reach a caller as a body, because the version of the
// answer has no chunks.
func TestAnswerInACodingThatItsVersionLacksReachesNoCaller(t *testing.T) {
	requireNoCallerGets(t, heads.OldCodings(headLines))
}

// Guards against bytes of another protocol that reach a caller as the answer.
func TestAnswerThatSwitchesTheProtocolReachesNoCaller(t *testing.T) {
	requireNoCallerGets(t, heads.Switches(headLines))
}

// Guards against a sound answer that is refused because it is unusual.
func TestUnusualAnswersReachCallers(t *testing.T) {
	for name, text := range heads.Sound(headLines) {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.addCutUpstream("one", text)
			for _, version := range versions {
				response, body, err := f.callAs(version, "/pay/x")
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, response.StatusCode)
				require.Equal(t, "inner", body)
			}
		})
	}
}
