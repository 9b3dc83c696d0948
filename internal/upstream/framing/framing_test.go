package framing_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/upstream/framing"
)

func TestEndsWithConnection(t *testing.T) {
	for head, want := range map[string]bool{
		"HTTP/1.1 200 OK\r\n\r\n":                               true,
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n":          true,
		"HTTP/1.0 200 OK\r\n\r\n":                               true,
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":          false,
		"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n":          false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n": false,
		"HTTP/1.1 204 No Content\r\n\r\n":                       false,
		"HTTP/1.1 304 Not Modified\r\n\r\n":                     false,
	} {
		for method, hasBody := range map[string]bool{http.MethodPost: true, http.MethodGet: true, http.MethodHead: false} {
			response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head)), &http.Request{Method: method})
			require.NoError(t, err)
			_ = response.Body.Close()
			require.Equal(t, want && hasBody, framing.EndsWithConnection(response), "%s %q", method, head)
		}
	}
}

func TestOnlySuccessWithoutABodyIsDoubted(t *testing.T) {
	require.True(t, errorx.IsOfType(framing.CheckEnd(http.StatusOK, true, 0), framing.NoBody))
	require.NoError(t, framing.CheckEnd(http.StatusOK, true, 1))
	require.NoError(t, framing.CheckEnd(http.StatusOK, false, 0))
	require.NoError(t, framing.CheckEnd(http.StatusFound, true, 0))
	require.NoError(t, framing.CheckEnd(http.StatusResetContent, true, 0))
	require.NoError(t, framing.CheckEnd(http.StatusInternalServerError, true, 0))
}
