package relay_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/persimmonridge/persimmonridge/internal/state/kv"
	"github.com/persimmonridge/persimmonridge/internal/state/relay"
)

var now = time.Unix(1_000_000, 0)

func put(key, value string, revision int64) kv.Event {
	return kv.Event{Item: kv.Item{Key: key, Value: []byte(value), Revision: kv.At(0, revision)}}
}

func removal(key string, revision int64) kv.Event {
	return kv.Event{Item: kv.Item{Key: key, Revision: kv.At(0, revision)}, Deleted: true}
}

// describe lists changes in a fixed order.
func describe(c relay.Changes) string {
	var lines []string
	for _, e := range c.Events {
		line := fmt.Sprintf("%s=%s", e.Key, e.Value)
		if e.Deleted {
			line = "-" + e.Key
		}
		lines = append(lines, line)
	}
	slices.Sort(lines)
	return fmt.Sprintf("%d partial=%t %s", c.Revision.Number(), c.Partial, strings.Join(lines, " "))
}

func TestChangesSinceARevision(t *testing.T) {
	l := relay.New("servers/", "speeds")
	l.Replace(now, kv.Snapshot{Revision: kv.At(0, 5), Items: []kv.Item{put("a", "1", 2).Item, put("servers/x", "1", 3).Item}})
	l.Apply(now, kv.Changes{Revision: kv.At(0, 9), Events: []kv.Event{put("b", "1", 7), put("speeds", "1", 8), removal("a", 9)}})
	require.Equal(t, "9 partial=true -a b=1", describe(l.Since(kv.At(0, 5))))
	require.Equal(t, "9 partial=true -a", describe(l.Since(kv.At(0, 7))))
	require.Equal(t, "9 partial=true ", describe(l.Since(kv.At(0, 9))))
	require.Equal(t, "9 partial=false b=1", describe(l.Since(kv.At(0, 4))))
	require.Equal(t, "9 partial=false b=1", describe(l.Since(0)))
}

// Guards against a gateway that takes a list of one era as the base of changes of another.
func TestRevisionOfAnotherEraGetsTheCompleteList(t *testing.T) {
	l := relay.New()
	l.Replace(now, kv.Snapshot{Revision: kv.At(1, 5), Items: []kv.Item{{Key: "a", Revision: kv.At(1, 2)}}})
	require.False(t, l.Since(kv.At(0, 7)).Partial)
	l.Apply(now, kv.Changes{Revision: kv.At(0, 99), Events: []kv.Event{put("b", "1", 99)}})
	require.Equal(t, "5 partial=false a=", describe(l.Since(0)))
}

// Guards against a change that a gateway misses, however its questions fall among the changes
// and events that are delivered twice.
func TestNoSequenceOfQuestionsMissesAChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, copied := relay.New(), map[string]string{}
		source.Replace(now, kv.Snapshot{Revision: kv.At(0, 1)})
		known, revision := kv.Revision(0), int64(1)
		var latest []kv.Event
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "ask") {
				c := source.Since(known)
				if !c.Partial {
					clear(copied)
				}
				for _, e := range c.Events {
					if e.Deleted {
						delete(copied, e.Key)
					} else {
						copied[e.Key] = string(e.Value)
					}
				}
				known = c.Revision
				continue
			}
			revision++
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
			event := put(key, fmt.Sprint(revision), revision)
			if rapid.Bool().Draw(t, "delete") {
				event = removal(key, revision)
			}
			events := []kv.Event{event}
			if rapid.Bool().Draw(t, "again") {
				events = append(slices.Clone(latest), event)
			}
			latest = []kv.Event{event}
			source.Apply(now, kv.Changes{Revision: kv.At(0, revision), Events: events})
		}
		c := source.Since(known)
		for _, e := range c.Events {
			if e.Deleted {
				delete(copied, e.Key)
			} else {
				copied[e.Key] = string(e.Value)
			}
		}
		if !c.Partial {
			clear(copied)
			for _, e := range c.Events {
				copied[e.Key] = string(e.Value)
			}
		}
		all := map[string]string{}
		for _, e := range source.Since(0).Events {
			all[e.Key] = string(e.Value)
		}
		require.Equal(t, all, copied)
	})
}
