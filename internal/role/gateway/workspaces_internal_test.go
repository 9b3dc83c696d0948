package gateway

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a metric that grows with the number of workspaces.
func TestPlacesOfManyWorkspacesAreCountedAsOne(t *testing.T) {
	m := newMetrics()
	for i := range 100 {
		m.byWorkspace.placed(strconv.Itoa(i), i%2 == 0)
		m.byWorkspace.placed(strconv.Itoa(i), i%2 == 0)
	}
	response := httptest.NewRecorder()
	m.handler().ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	text := response.Body.String()
	require.Equal(t, 22, strings.Count(text, "\npersimmonridge_workspace_places_total{"))
	for _, line := range []string{
		`{result="granted",workspace="(others)"} 80`, `{result="granted",workspace="0"} 2`, `{result="refused",workspace="1"} 2`,
	} {
		require.Contains(t, text, "\npersimmonridge_workspace_places_total"+line+"\n")
	}
}
