package exchange_test

import (
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/proof/heads"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
)

// headLines are the header lines of the heads that tests cut.
var headLines = heads.Lines{ID: "Request-Id: one", OtherID: "Request-Id: zero", Seal: "Seal: s", NotExecuted: "Not-Run: 1", Load: "Load: 3,1,12"}

// sendTo sends a request to an upstream that answers with the text and ends the connection. In
// memory, as thousands of listeners would take ports on which other tests expect nobody.
func sendTo(t *testing.T, text string) (*exchange.Answer, error) {
	t.Helper()
	memory := network.New()
	listener, err := memory.Listen("10.0.0.1:80")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go heads.Serve(listener, text)
	pool := exchange.NewPool(memory.DialContext)
	defer func() { _ = pool.Close() }()
	return exchange.NewClient(pool, names, time.Now).Do(t.Context(), listener.Addr().String(), request("one"))
}

// Guards against an answer whose head broke off that is taken for one with an empty body, and
// against a refusal that broke off that tells that nothing ran.
func TestHeadThatBreaksOffIsNoAnswer(t *testing.T) {
	for name, head := range heads.All(headLines) {
		for _, ending := range []string{"", heads.Reset} {
			t.Run(name+" "+ending, func(t *testing.T) {
				t.Parallel()
				for cut := range len(head) {
					answer, err := sendTo(t, head[:cut]+ending)
					require.Nil(t, answer, "cut after %d bytes", cut)
					require.True(t, errorx.IsOfType(err, exchange.Lost), "cut after %d bytes: %v", cut, err)
				}
			})
		}
	}
}

func TestWholeHeadIsAnAnswer(t *testing.T) {
	for name, head := range heads.All(headLines) {
		answer, err := sendTo(t, head)
		require.NoError(t, err, name)
		answer.Close(false)
	}
}
