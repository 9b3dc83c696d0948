package framing_test

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/heads"
	"github.com/persimmonridge/persimmonridge/internal/upstream/framing"
)

var lines = heads.Lines{ID: "Request-Id: r1", OtherID: "Request-Id: r0", Seal: "Seal: s", NotExecuted: "Not-Run: 1", Load: "Load: 1"}

// check checks the text in two pieces, and returns the head and how many bytes belong to it.
func check(text []byte, cut int) (*framing.Head, int, error) {
	head := &framing.Head{}
	n, err := head.Check(text[:cut])
	if err != nil || n < cut {
		return head, n, err
	}
	more, err := head.Check(text[cut:])
	return head, n + more, err
}

func TestHeadEndsWithItsEmptyLine(t *testing.T) {
	for name, text := range heads.All(lines) {
		if strings.HasPrefix(name, "after ") {
			continue // Another head comes first.
		}
		for cut := range len(text) {
			head, n, err := check([]byte(text+"body"), cut)
			require.NoError(t, err, name)
			require.True(t, head.Done(), name)
			require.Equal(t, len(text), n, name)
		}
		head := &framing.Head{}
		_, err := head.Check([]byte(strings.TrimRight(text, "\r\n")))
		require.NoError(t, err)
		require.False(t, head.Done(), name)
	}
}

// Guards against an error that quotes a long line whole.
func TestErrorsOfLongLinesAreShort(t *testing.T) {
	long := strings.Repeat("x", 1<<20)
	for _, text := range []string{long + "\n", "HTTP/1.1 " + long + "\n", "HTTP/1.1 200 OK\n" + long + "\n", "HTTP/1.1 200 OK\n" + long + " : v\n"} {
		_, err := new(framing.Head).Check([]byte(text))
		require.True(t, framing.IsMalformed(err), "%.100s", text)
		require.Less(t, len(err.Error()), 200)
	}
}

// FuzzHead looks for heads on which the verdict depends on the pieces in which they arrive, and for
// those that pass and of which the parser makes something else.
func FuzzHead(f *testing.F) {
	for _, texts := range []map[string]string{heads.All(lines), heads.Malformed(lines), heads.Sound(lines)} {
		for _, text := range texts {
			f.Add([]byte(text), uint(len(text)/2))
		}
	}
	f.Fuzz(func(t *testing.T, text []byte, at uint) {
		cut := int(at % uint(len(text)+1))
		whole, n, err := check(text, 0)
		pieces, m, piecesErr := check(text, cut)
		require.Equal(t, err == nil, piecesErr == nil, "%v, %v", err, piecesErr)
		if err != nil {
			require.True(t, framing.IsMalformed(err))
			return
		}
		require.Equal(t, n, m)
		require.Equal(t, whole.Done(), pieces.Done())
		if !whole.Done() {
			return
		}
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
		if err != nil {
			return // The parser refuses more, such as control bytes in values.
		}
		_ = response.Body.Close()
		require.Equal(t, whole.Status(), response.StatusCode)
		require.Equal(t, 1, response.ProtoMajor)
		for name := range response.Header {
			require.NotContains(t, name, " ")
		}
	})
}
