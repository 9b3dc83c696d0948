// Package heads holds heads of upstreams' answers, and an upstream that breaks them off, for tests
// of what callers get then.
package heads

import (
	"bufio"
	_ "embed"
	"io"
	"net"
	"net/http"
	"strings"
)

//go:embed heads.txt
var sections string

// Lines are the header lines that the heads have.
type Lines struct{ ID, OtherID, Seal, NotExecuted, Load string }

func (l Lines) replacer() *strings.Replacer {
	return strings.NewReplacer("@id", l.ID, "@other-id", l.OtherID, "@seal", l.Seal, "@not-executed", l.NotExecuted, "@load", l.Load)
}

// All returns the heads by name, each with both kinds of line ends.
func All(lines Lines) map[string]string {
	replacer := lines.replacer()
	all := make(map[string]string)
	for _, section := range strings.Split(sections, "-- ")[1:] {
		name, text, _ := strings.Cut(section, " --\n")
		text = replacer.Replace(text)
		all[name+", bare line feeds"] = text
		all[name] = strings.ReplaceAll(text, "\n", "\r\n")
	}
	return all
}

// Reset at the end of a text makes Serve reset the connection in place of ending it.
const Reset = "RESET"

// Serve answers one request on each connection of the listener with the text as it is, and ends
// the connection. It returns when the listener is closed.
func Serve(listener net.Listener, text string) {
	text, reset := strings.CutSuffix(text, Reset)
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, text)
		}
		if resettable, ok := conn.(interface{ SetLinger(seconds int) error }); ok && reset {
			_ = resettable.SetLinger(0)
		}
		_ = conn.Close()
	}
}
