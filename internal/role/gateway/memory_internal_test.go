package gateway

import (
	"log/slog"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a full account that operators cannot see.
func TestFullAccountAndRoomAreLogged(t *testing.T) {
	var text strings.Builder
	g := &Gateway{logger: slog.New(slog.NewTextHandler(&text, nil))}
	g.logMemory(true, 800, 1000)
	g.logMemory(false, 500, 1000)
	lines := strings.Split(strings.TrimSpace(text.String()), "\n")
	require.Len(t, lines, 2)
	require.Contains(t, lines[0], `msg="memory for bodies and answers is full" held=800 limit=1000`)
	require.Contains(t, lines[1], `msg="memory for bodies and answers has room again" held=500 limit=1000`)
}
