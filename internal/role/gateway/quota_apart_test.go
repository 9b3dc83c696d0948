package gateway_test

import (
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
)

// Guards against a workspace that gets its quota once from each gateway, after these have not
// reached each other for longer than they remember who is silent.
func TestGatewaysThatLoseEachOtherForMinutesShareAQuota(t *testing.T) {
	const (
		perSecond, burst, offered = 20, 20, 200
		window                    = 8 * time.Second
		excess                    = 0.1
	)
	var mu sync.Mutex
	var ran []time.Time
	f := &fleet{size: repeatsGateways, slots: 64, logger: slog.New(slog.DiscardHandler)}
	playFleet(t, f, func(f *fleet) {
		f.putFewConfig(`"kind":"idempotent"`, `"slots":64`, fmt.Sprintf(`,"ratePerS":%d,"burst":%d`, perSecond, burst))
		for i := range f.size {
			f.dialer(i).severedPeers.Store(true)
		}
		bubble.Sleep(3 * time.Minute)
		var callers sync.WaitGroup
		for n := range 20 * offered {
			callers.Go(func() {
				o := f.callWithHeaders(n%f.size, "/old/x?events=1", fmt.Sprint("q", n), strings.NewReader("body"), nil)
				if o.status == http.StatusOK {
					mu.Lock()
					defer mu.Unlock()
					ran = append(ran, time.Now())
				}
			})
			bubble.Sleep(time.Second / offered)
		}
		callers.Wait()
	})
	slices.SortFunc(ran, time.Time.Compare)
	most, first := 0, 0
	for i, at := range ran {
		for at.Sub(ran[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	t.Log(most)
	require.LessOrEqual(t, float64(most), (1+excess)*(perSecond*window.Seconds()+burst))
	require.GreaterOrEqual(t, most, int(perSecond*window.Seconds()/2), "a half of the quota must be of use")
}
