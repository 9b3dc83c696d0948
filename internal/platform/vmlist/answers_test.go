package vmlist_test

import (
	"bufio"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/platform/vmlist"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
)

// Guards against bytes that are no answer and are taken for a new list, or for the word that the
// list is unchanged.
func TestMalformedAnswerIsNoList(t *testing.T) {
	const list = `{"vms":[{"vm":"vm-1"}]}`
	for name, answer := range map[string]string{
		"blank after a name": "HTTP/1.1 200 OK\r\nETag : v\r\n\r\n" + list,
		"informational":      "HTTP/1.1 103 Early Hints\r\nX Y: v\r\n\r\nHTTP/1.1 200 OK\r\n\r\n" + list,
		"status 000":         "HTTP/1.1 000 OK\r\n\r\n" + list,
		"old coding":         "HTTP/1.0 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n" + list,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := network.New()
				listener, err := memory.Listen("10.0.0.1:80")
				require.NoError(t, err)
				answers := []string{answer, "HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\n" + `{"vms":[{"vm":"vm-2"}]}`}
				go func() {
					for _, answer := range answers {
						conn, err := listener.Accept()
						if err != nil {
							return
						}
						if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
							_, _ = io.WriteString(conn, answer)
						}
						_ = conn.Close()
					}
				}()
				lists := make(chan []vmlist.VM, 2)
				poller := vmlist.Poll("http://"+listener.Addr().String(), memory, slog.New(slog.DiscardHandler), func(vms []vmlist.VM) { lists <- vms })
				time.Sleep(10 * time.Second)
				require.NoError(t, poller.Close())
				require.NoError(t, listener.Close())
				require.Len(t, lists, 1)
				require.Equal(t, "vm-2", (<-lists)[0].Name())
			})
		})
	}
}
