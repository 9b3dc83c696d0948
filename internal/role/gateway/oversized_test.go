package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
)

// Guards against a gateway that learns nothing of its peers any more, since what they pass on is
// larger than a message may be: registrations that cannot be read may be as large as any value.
func TestUnreadableRegistrationsDoNotKeepChangesFromAGateway(t *testing.T) {
	const unreadable = 3
	junk := strings.Repeat("junk", 250_000)
	var status int
	var late []time.Time
	runFleet(t, func(f *fleet) {
		f.turnAway(true, 2)
		bubble.Sleep(4 * time.Second)
		for i := range unreadable {
			f.store.Put(fmt.Sprintf("servers/junk-%d", i), junk)
		}
		f.register(0, "a", `,"state":"draining"`)
		f.putConfig(2, "/new/")
		bubble.Sleep(f.settings(2).ConfigApplyLimit)
		since := time.Now()
		for i := range 12 {
			status = f.call(2, "/new/x?events=1", fmt.Sprint("new-", i)).status
		}
		late = f.arrivalsSince(0, since)
		f.turnAway(false, 2)
	})
	require.Equal(t, http.StatusOK, status)
	require.Empty(t, late, "the upstream has left")
}
