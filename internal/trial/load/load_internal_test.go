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

// A scenario reported an answer that looked whole and was another's, under load
// only. An upstream had crashed in the middle of an event: the caller got the
// first bytes of a line and then a connection error. The torn line was judged
// as if it had ended before the error was looked at.
func TestTornLineOfACutAnswerIsNoWrongAnswer(t *testing.T) {
	cases := []struct {
		name string
		body io.Reader
		want Ending
	}{
		{"whole", strings.NewReader("data: m:0 \n\ndata: m:1 \n\ndata: [DONE]\n"), InTime},
		{"cut inside a line", io.MultiReader(strings.NewReader("data: m:0 \n\ndata: m"), iotest.ErrReader(io.ErrUnexpectedEOF)), Cut},
		{"cut between lines", io.MultiReader(strings.NewReader("data: m:0 \n\n"), iotest.ErrReader(io.ErrUnexpectedEOF)), Cut},
		{"ends as if whole inside a line", strings.NewReader("data: m:0 \n\ndata: m"), Wrong},
		{"ends as if whole before the last token", strings.NewReader("data: m:0 \n\ndata: [DONE]\n"), Wrong},
		{"another's token", strings.NewReader("data: other:0 \n\ndata: m:1 \n\ndata: [DONE]\n"), Wrong},
		{"another's token, then cut", io.MultiReader(strings.NewReader("data: other:0 \n\n"), iotest.ErrReader(io.ErrUnexpectedEOF)), Wrong},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var s Sample
			response := &http.Response{Body: io.NopCloser(c.body)}
			new(Callers).read(&s, time.Now(), response, job{action: Action{Model: "m"}, mark: "m", tokens: 2})
			require.Equal(t, c.want, s.Ending)
		})
	}
}
