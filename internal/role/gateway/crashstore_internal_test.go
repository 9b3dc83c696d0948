package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/limit/crash"
	"github.com/persimmonridge/persimmonridge/internal/state/kv"
)

// Guards against a request that crashes upstreams and is sent again, as the copy from which the
// store came back lacks its refusal; a refusal that was deleted in the same era has ended.
func TestCauseOfCrashesOutlivesACopyWithoutIt(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	g := newSnapshotGateway("restarted")
	cause := crash.Refusal{Fingerprint: 7, Until: now.Add(time.Minute)}
	value, err := encodeCause(now, cause)
	require.NoError(t, err)
	item := kv.Item{Key: causeKey(cause), Value: value, Revision: kv.At(1, 400)}
	list := kv.Snapshot{Revision: kv.At(1, 500), Items: []kv.Item{item}}
	g.crashStore.Replace(now, list)
	require.True(t, g.crashTracker.Blocked(now, cause.Fingerprint))

	g.crashStore.Replace(now, kv.Snapshot{Revision: kv.At(2, 300)})
	require.True(t, g.crashTracker.Blocked(now, cause.Fingerprint))
	require.Empty(t, g.crashStore.stored, "it must be written again")

	list.Revision, list.Items[0].Revision = kv.At(2, 310), kv.At(2, 305)
	g.crashStore.Replace(now, list)
	g.crashStore.Replace(now, kv.Snapshot{Revision: kv.At(2, 320)})
	require.False(t, g.crashTracker.Blocked(now, cause.Fingerprint))
}
