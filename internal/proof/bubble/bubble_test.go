package bubble

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a test that hangs without leaving information about the cause.
func TestStacksOfAStuckTestAreKept(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	writeStacks(t)
	files, err := filepath.Glob(filepath.Join(os.TempDir(), "stuck-*.txt"))
	require.NoError(t, err)
	require.Len(t, files, 1)
	content, err := os.ReadFile(files[0])
	require.NoError(t, err)
	require.Contains(t, string(content), "TestStacksOfAStuckTestAreKept")
}
