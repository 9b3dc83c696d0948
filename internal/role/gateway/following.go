package gateway

import (
	"time"

	"github.com/persimmonridge/persimmonridge/internal/state/follow"
)

const (
	// The pause between two watches of the store is minStorePollPause plus
	// storePollPausePerPeer for each known peer, up to maxStorePollPause. Upstream
	// heartbeats change keys many times a second, so watching without a pause would
	// cost a call for each. A draining upstream and a new configuration must be
	// seen within two seconds even by a gateway that receives no gossip. The more
	// gateways poll, the sooner one of them sees a change and gossips it.
	minStorePollPause     = 500 * time.Millisecond
	storePollPausePerPeer = 30 * time.Millisecond
	maxStorePollPause     = 1200 * time.Millisecond
	// peerInformedPauseShare is the pause, as a share of the time in which a
	// configuration must be applied, of a gateway that receives gossip from several
	// peers which poll more often. The gateway still applies a configuration in time
	// if none of them reports it.
	peerInformedPauseShare = 0.7
	// hubRetryPause is the longest pause between two calls to a store that does not answer,
	// and maxOtherRetryPause that of gateways that are no hubs of a large fleet: a
	// configuration is in force in time even if they hear of the store's return from nobody.
	hubRetryPause      = 200 * time.Millisecond
	maxOtherRetryPause = 3 * time.Second
)

// storePollPause returns the pause before the next watch of the store.
func (g *Gateway) storePollPause() time.Duration {
	pause := min(minStorePollPause+time.Duration(g.mesh.PeerCount())*storePollPausePerPeer, maxStorePollPause)
	if g.peers.peersPollStore(g.now()) {
		return max(pause, time.Duration(peerInformedPauseShare*float64(g.settings.ConfigApplyLimit)))
	}
	return pause
}

// storeRetryPause returns the longest pause between two looks for a store that does not answer.
// Hubs notice its return soon and tell the others, whose calls together are therefore no more
// frequent in a large fleet.
func (g *Gateway) storeRetryPause() time.Duration {
	if !g.isLargeFleet() || g.mesh.IsHub() {
		return hubRetryPause
	}
	return min(hubRetryPause*time.Duration(g.peers.gatewayCount())/8, maxOtherRetryPause)
}

// newFollower returns the follower that keeps the configuration, the upstreams, the
// other gateways, the rollouts, the engine speeds and what crashes upstreams in step with
// the store.
func (g *Gateway) newFollower() *follow.Follower {
	views := follow.Mux{
		// Evacuations come first: no upstream is used before they are known.
		{Prefix: g.settings.EvacuationPrefix, View: g.evacuations},
		{Prefix: g.settings.ConfigKey, View: &configView{gateway: g}},
		{Prefix: g.settings.UpstreamPrefix, View: g.upstreams},
		{Prefix: memberPrefix, View: g.peers},
		{Prefix: g.settings.OrderPrefix, View: orderView{g.rolloutController}},
		{Prefix: rolloutStatePrefix, View: stateView{g.rolloutController}},
		{Prefix: speedsKey, View: g.speedStore},
		{Prefix: crashCausePrefix, View: g.crashStore},
		{Prefix: hubListKey, View: g.hubList},
		// It states up to where the others have applied changes.
		{View: g.relay.log},
	}
	return follow.New(g.store, views, follow.Options{
		Relay:      g.relay,
		WatchPause: g.storePollPause, WatchTimeout: g.settings.ConfigApplyLimit,
		MaxRetryPause: g.storeRetryPause,
		OnLost:        func(time.Time) { g.peers.setStoreLost(true) },
		OnRegained: func(now time.Time) {
			g.roster.StoreRegained(now)
			g.peers.setStoreLost(false)
		},
	}, g.logger, g.now)
}
