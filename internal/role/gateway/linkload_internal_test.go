package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/fleet/mesh"
)

// Guards against callers who are sent from one full link to the next: small gateways hear only
// hubs, whose links are large, and hubs hear all.
func TestCallersAreNotSentElsewhereWhileMostGatewaysTakeFew(t *testing.T) {
	taking, few := mesh.Peer{Ready: true}, mesh.Peer{Ready: true, TakesFew: true}
	stopping, starting := mesh.Peer{Ready: true, Leaving: true}, mesh.Peer{}
	hub := func(percent uint32) mesh.Peer { return mesh.Peer{Ready: true, TakingPercent: percent} }
	for name, c := range map[string]struct {
		heard []mesh.Peer
		want  bool
	}{
		"nobody is heard":                    {nil, false},
		"all take callers":                   {[]mesh.Peer{taking, taking, taking}, true},
		"half take few":                      {[]mesh.Peer{taking, taking, few, few}, false},
		"half stop or start":                 {[]mesh.Peer{taking, taking, stopping, starting}, false},
		"hubs take, but most others few":     {[]mesh.Peer{hub(40), hub(45), hub(42)}, false},
		"hubs take few, but most others not": {[]mesh.Peer{few, few, {Ready: true, TakesFew: true, TakingPercent: 80}}, true},
		"hubs disagree":                      {[]mesh.Peer{hub(90), hub(60), hub(30)}, true},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, mostTakeCallers(c.heard)) })
	}
}

// Guards against a hub that tells nothing, since 0 is unknown, when no gateway takes callers.
func TestHubTellsHowManyGatewaysTakeCallers(t *testing.T) {
	taking, few := mesh.Peer{Ready: true}, mesh.Peer{Ready: true, TakesFew: true}
	require.EqualValues(t, 50, takingPercent([]mesh.Peer{taking, few, few}, true))
	require.EqualValues(t, 100, takingPercent(nil, true))
	require.EqualValues(t, 1, takingPercent([]mesh.Peer{few}, false))
}
