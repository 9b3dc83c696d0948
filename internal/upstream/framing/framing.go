// Package framing validates responses in HTTP/1.x, and detects truncated ones whose framing does
// not show it.
package framing

import (
	"net/http"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("framing")

// NoBody is the error of an answer that states no length and whose connection ended before the
// first byte of its body. The upstream may have stopped there as well as finished.
var NoBody = namespace.NewType("no-body")

// EndsWithConnection reports whether the end of the answer's body is that of the connection.
func EndsWithConnection(response *http.Response) bool {
	headOnly := response.Request != nil && response.Request.Method == http.MethodHead
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && !headOnly
}

// CheckEnd returns an error if an answer that ended after the number of bytes cannot be taken
// for complete. Only success is doubted, as a caller acts on it, and none whose status says that
// there is no body.
func CheckEnd(status int, endsWithConnection bool, bytes int64) error {
	if bytes > 0 || !endsWithConnection || status < 200 || status >= 300 || status == http.StatusResetContent {
		return nil
	}
	return NoBody.New("answer with status %d states no length, and its connection ended without a body; state a Content-Length of 0 if there is none", status)
}
