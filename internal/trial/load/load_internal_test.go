package load

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a cut answer that is reported as wrong: an upstream crashes in
// the middle of an event, the caller gets the first bytes of a line and then a
// connection error, and the partial line is checked as if it were complete before
// the error is.
func TestPartialLineOfACutAnswerIsNotAWrongAnswer(t *testing.T) {
	cases := []struct {
		name string
		body io.Reader
		want Outcome
	}{
		{"whole", strings.NewReader("data: m:0 \n\ndata: m:1 \n\ndata: [DONE]\n"), InTime},
		{"cut inside a line", io.MultiReader(strings.NewReader("data: m:0 \n\ndata: m"), iotest.ErrReader(io.ErrUnexpectedEOF)), Cut},
		{"cut between lines", io.MultiReader(strings.NewReader("data: m:0 \n\n"), iotest.ErrReader(io.ErrUnexpectedEOF)), Cut},
		{"ends without error inside a line", strings.NewReader("data: m:0 \n\ndata: m"), Wrong},
		{"ends without error before the last token", strings.NewReader("data: m:0 \n\ndata: [DONE]\n"), Wrong},
		{"token of another answer", strings.NewReader("data: other:0 \n\ndata: m:1 \n\ndata: [DONE]\n"), Wrong},
		{"token of another answer, then cut", io.MultiReader(strings.NewReader("data: other:0 \n\n"), iotest.ErrReader(io.ErrUnexpectedEOF)), Wrong},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var s Sample
			response := &http.Response{Body: io.NopCloser(c.body)}
			new(Callers).readResponse(&s, time.Now(), response, plannedRequest{action: Action{Model: "m"}, marker: "m", tokens: 2})
			require.Equal(t, c.want, s.Outcome)
		})
	}
}
