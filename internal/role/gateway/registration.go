package gateway

import (
	"context"
	"encoding/json"
	"math"
	"time"

	"github.com/joomcode/errorx"

	"github.com/persimmonridge/persimmonridge/internal/limit/quota"
	"github.com/persimmonridge/persimmonridge/internal/state/kv"
	"github.com/persimmonridge/persimmonridge/internal/state/wait"
)

const (
	// memberLeaseTTL is how long a gateway that crashed stays registered.
	memberLeaseTTL = 10 * time.Second
	// memberRenewInterval allows for two lost renewals.
	memberRenewInterval = 3 * time.Second
)

// member is a gateway's registration in the store.
type member struct {
	Address string `json:"address"`
	Run     uint64 `json:"run"`
	// CPUHalvings is n for a gateway that may use about 1/2^n of one core.
	CPUHalvings int64 `json:"halvings,omitempty"`
	// Domain is the gateway's failure domain.
	Domain string `json:"domain,omitempty"`
	// Listens holds the further addresses at which the gateway listens.
	Listens []string `json:"listens,omitempty"`
}

const (
	// maxCPUHalvings bounds a member's CPUHalvings.
	maxCPUHalvings = 8
	// cpuHalvingsShift places CPUHalvings above any store revision in a rank.
	cpuHalvingsShift = 48
)

// settleTime returns how long a new registration counts for less than others. The others learn
// of it as soon as of a configuration, unless they do not reach the store; then they lose their
// own. When the whole fleet starts for the first time there is none that was cut off before.
func (s Settings) settleTime() time.Duration {
	if s.Quota.StartFull {
		return s.ConfigApplyLimit
	}
	return memberLeaseTTL + s.ConfigApplyLimit
}

// cpuHalvings returns how many times one core must be halved to get the CPU share,
// rounded; it is 0 if the share is unknown.
func cpuHalvings(cpuShare float64) int64 {
	if cpuShare <= 0 {
		return 0
	}
	return int64(min(max(math.Round(-math.Log2(cpuShare)), 0), maxCPUHalvings))
}

// rank returns the rank of a member whose key was created at the given revision; the
// lowest rank comes first. Scheduling and being a hub cost a VM many times the CPU
// time of serving callers, so gateways with more CPU come first, and among equals
// the one that was registered first.
func (m member) rank(createdRevision int64) int64 {
	return min(max(m.CPUHalvings, 0), maxCPUHalvings)<<cpuHalvingsShift | createdRevision
}

// memberPrefix is the prefix of the gateways' registrations in the store.
const memberPrefix = "gateways/"

// register keeps the gateway registered in the store until the context ends.
func (p *peers) register(ctx context.Context) error {
	value, err := json.Marshal(member{
		Address: p.settings.LinkAddress, Run: p.runID, CPUHalvings: cpuHalvings(p.settings.CPUCores), Domain: p.settings.Domain,
		Listens: []string{p.settings.CallerAddress, p.settings.ReadinessAddress, p.settings.MetricsAddress},
	})
	if err != nil {
		return err
	}
	var r registration
	for ctx.Err() == nil {
		if !r.written {
			r = p.registerOnce(ctx, r, value)
		} else if r = p.renew(ctx, r); !r.written {
			continue
		}
		pause := memberRenewInterval
		if !r.written {
			pause = memberRenewInterval / 6
		}
		wait.For(ctx, pause)
	}
	if r.lease != 0 {
		releaseCtx, cancel := context.WithTimeout(context.Background(), leaseReleaseTimeout)
		defer cancel()
		if err := p.store.Release(releaseCtx, r.lease); err != nil {
			p.logger.Info("gateway lease not released; it will expire", "err", err)
		}
	}
	return nil
}

// leaseReleaseTimeout bounds the last store call of a stopping process.
const leaseReleaseTimeout = 200 * time.Millisecond

// registration is the state of this gateway's registration in the store.
type registration struct {
	// lease is 0 if there is none; ttl is how long it lasts after a renewal.
	lease int64
	ttl   time.Duration
	// grantedAt is when the lease was asked for, and written reports that the registration
	// was written under it.
	grantedAt time.Time
	written   bool
	// checked is set once it is known whether a former process was registered.
	checked bool
}

// registerOnce registers the gateway under the lease, or under a new one if there is
// none. A write that got no answer may still be carried out, even after a later one, so it
// is repeated under the same lease: all of them then write the same.
func (p *peers) registerOnce(ctx context.Context, r registration, value []byte) registration {
	if r.lease == 0 {
		var err error
		r.grantedAt = p.now()
		if r.lease, r.ttl, err = p.store.Grant(ctx, memberLeaseTTL); err != nil {
			return registration{checked: r.checked}
		}
	}
	t := kv.Transaction{Puts: []kv.Put{{Key: p.memberKey(), Value: value, Lease: r.lease}}}
	if !r.checked {
		// The first write must not replace what the former process wrote before that is read.
		t.Conditions = []kv.Condition{{Key: p.memberKey()}}
	}
	_, err := p.store.Commit(ctx, t)
	if !r.checked && errorx.IsOfType(err, kv.Conflict) {
		if r.checked = p.readFormer(ctx); r.checked {
			return p.registerOnce(ctx, r, value)
		}
	}
	switch {
	case err == nil:
		if !r.checked {
			p.succeed(member{})
		}
		r.written, r.checked = true, true
		p.membership.Registered(p.now(), r.grantedAt.Add(r.ttl))
		return r
	case errorx.IsOfType(err, kv.LeaseEnded):
		r = registration{checked: r.checked}
	}
	p.logger.Info("gateway not registered in the store yet", "err", err)
	return r
}

func (p *peers) memberKey() string { return memberPrefix + p.settings.Name }

// readFormer reads the registration of the former process, if it has not ended meanwhile. It
// reports whether the store answered.
func (p *peers) readFormer(ctx context.Context) bool {
	list, err := p.store.Range(ctx, p.memberKey())
	if err != nil {
		return false
	}
	var former member
	for _, item := range list.Items {
		if item.Key == p.memberKey() && json.Unmarshal(item.Value, &former) != nil {
			p.logger.Warn("registration of the former process ignored", "key", item.Key)
		}
	}
	p.succeed(former)
	return true
}

// succeed takes over from the former process, of which the zero member is none. This process
// finds its own registration if the answer to the first write was lost, and had no former one.
func (p *peers) succeed(former member) {
	if former.Run == p.runID {
		former = member{}
	}
	if former.Run != 0 {
		p.guard.listedBefore()
		p.membership.Succeeds()
	}
	p.former.Store(&former)
	p.setQuotaOptions(p.settings.Quota)
}

// formerAge returns how long the former process had run when this one started, 0 while that is
// not known. One that is no longer registered ended long ago.
func (g *Gateway) formerAge() time.Duration {
	former := g.former.Load()
	if former == nil {
		return 0
	}
	return g.startedAt.Sub(time.Unix(0, int64(former.Run)))
}

// setQuotaOptions sets the options for quotas, which depend on the former process.
func (g *Gateway) setQuotaOptions(options quota.Options) {
	options.StartedAgain = g.formerAge() < options.Window
	g.quota.SetOptions(options)
	g.ledger.SetOptions(options)
}

// renew renews the lease of the registration. If that has ended, so has the registration.
func (p *peers) renew(ctx context.Context, r registration) registration {
	askedAt := p.now()
	err := p.store.Keep(ctx, r.lease)
	switch {
	case err == nil:
		p.membership.Renewed(askedAt.Add(r.ttl))
	case errorx.IsOfType(err, kv.LeaseEnded):
		return registration{checked: true}
	}
	return r
}
