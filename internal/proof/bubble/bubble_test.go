package bubble

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a test that hangs and of which nothing is known afterwards.
func TestStacksOfAStuckTestAreKept(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	keepStacks(t)
	files, err := filepath.Glob(filepath.Join(os.TempDir(), "stuck-*.txt"))
	require.NoError(t, err)
	require.Len(t, files, 1)
	kept, err := os.ReadFile(files[0])
	require.NoError(t, err)
	require.Contains(t, string(kept), "TestStacksOfAStuckTestAreKept")
}
