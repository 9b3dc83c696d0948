package control_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/fleet/control"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/upstream/suspect"
)

const (
	// crashRetention and convictionRetention are how long a crash makes requests suspect
	// and how long a conviction lasts.
	crashRetention      = 10 * time.Minute
	convictionRetention = 6 * time.Hour
	// exchangeInterval is the time between two notices of a node.
	exchangeInterval = 10 * time.Second
	// fingerprint is that of the requests in these tests.
	fingerprint = 7
)

// exchange has the nodes send notices until the end, and returns when any of them last
// gave the fingerprint the status.
func exchange(end time.Time, status suspect.Status, nodes ...*node) (last time.Time) {
	for now := time.Now(); now.Before(end); now = time.Now() {
		for _, n := range nodes {
			n.changed.Raise()
		}
		bubble.Sleep(exchangeInterval)
		for _, n := range nodes {
			if n.suspects.Status(time.Now(), fingerprint) == status {
				last = time.Now()
			}
		}
	}
	return last
}

// Guards against a crash that nodes keep telling each other: the second is told of it after
// five minutes, the third by the second after eight, and all must forget it with the first.
func TestCrashInNoticesIsForgottenInTime(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		agent, entry, third := newNode(), newNode(), newNode()
		crashed := time.Now()
		agent.suspects.Record(crashed, suspect.NewCrash(1, crashed, []uint64{fingerprint}))
		bubble.Sleep(5 * time.Minute)
		connect(t, entry, agent)
		bubble.Sleep(3 * time.Minute)
		connect(t, third, entry)
		bubble.Sleep(time.Second)
		for _, n := range []*node{entry, third} {
			require.Equal(t, suspect.Suspected, n.suspects.Status(time.Now(), fingerprint))
		}
		last := exchange(crashed.Add(3*time.Hour), suspect.Suspected, agent, entry, third)
		require.InDelta(t, crashRetention, last.Sub(crashed), float64(exchangeInterval), "suspected for %s", last.Sub(crashed))
	})
}

// Guards against a conviction that is renewed by the crashes in notices.
func TestConvictionByNoticesEndsInTime(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		entry, agent := newNode(), newNode()
		crashed := time.Now()
		agent.suspects.Record(crashed, suspect.NewCrash(1, crashed, []uint64{fingerprint, 8}))
		agent.suspects.Record(crashed, suspect.NewCrash(2, crashed, []uint64{fingerprint, 9}))
		bubble.Sleep(5 * time.Minute)
		connect(t, entry, agent)
		bubble.Sleep(time.Second)
		require.Equal(t, suspect.Convicted, entry.suspects.Status(time.Now(), fingerprint))
		last := exchange(crashed.Add(13*time.Hour), suspect.Convicted, entry, agent)
		require.InDelta(t, convictionRetention, last.Sub(crashed), float64(exchangeInterval), "convicted for %s", last.Sub(crashed))
	})
}

// Guards against suspecting a request for ever because a node of an older version, whose
// notices do not tell how old a crash is, keeps repeating it.
func TestCrashThatAnOlderVersionRepeatsIsForgotten(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		entry := newNode()
		older := newNode(control.WithDescribe(func(_ time.Time, n *wire.Notice, _ bool) {
			n.Crashes = []*wire.Crash{{Id: 1, Fingerprints: []uint64{fingerprint}}}
		}))
		connect(t, entry, older)
		bubble.Sleep(time.Second)
		told := time.Now()
		require.Equal(t, suspect.Suspected, entry.suspects.Status(told, fingerprint))
		for time.Since(told) < 3*time.Hour {
			older.changed.Raise()
			bubble.Sleep(exchangeInterval)
			if time.Since(told) > crashRetention {
				require.Equal(t, suspect.NotSuspected, entry.suspects.Status(time.Now(), fingerprint), "after %s", time.Since(told))
			}
		}
	})
}

// Guards against a request that is suspected again by the next notice of a peer, although
// it ran alone here and finished.
func TestClearedRequestIsNotSuspectedAgain(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		entry, agent := newNode(), newNode()
		connect(t, entry, agent)
		bubble.Sleep(time.Second)
		agent.suspects.Record(time.Now(), suspect.NewCrash(1, time.Now(), []uint64{fingerprint, 8}))
		agent.changed.Raise()
		bubble.Sleep(time.Second)
		require.Equal(t, suspect.Suspected, entry.suspects.Status(time.Now(), fingerprint))
		agent.suspects.Clear(fingerprint)
		entry.changed.Raise()
		bubble.Sleep(time.Second)
		require.Equal(t, suspect.NotSuspected, agent.suspects.Status(time.Now(), fingerprint))
		require.Equal(t, suspect.Suspected, agent.suspects.Status(time.Now(), 8))
	})
}
