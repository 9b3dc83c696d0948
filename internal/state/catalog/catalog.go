// Package catalog holds one accepted version of the configuration: routes, services,
// workspaces and the limits on callers. A Catalog is immutable; a newer version
// replaces it as a whole.
package catalog

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// Kind is the kind of a route's requests. It determines whether they may be repeated.
type Kind int

// The kinds of requests. Those of the zero value may never be repeated.
const (
	NonIdempotent Kind = iota
	Idempotent
	Streaming
)

// String returns the kind's name, as used in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	}
	return "non-idempotent"
}

// Target is a service that receives a share of a route's requests, by its weight among
// the route's targets.
type Target struct {
	Service string
	Weight  float64
}

// Route determines the services for the requests of a host and a path prefix, and
// their limits.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable reports whether a stream may be continued on another upstream.
	Resumable bool
	// Timeout is the longest time that a caller may wait for the end of the answer.
	Timeout time.Duration
	// LatencyTarget is the target for the time to a complete answer, or to a stream's
	// first event.
	LatencyTarget time.Duration
	// EventGapTarget is the target for the longest pause between two events of a stream.
	EventGapTarget time.Duration
	// Tier is the priority of requests; 0 is served first.
	Tier int
	// MaxAttempts is the largest number of upstreams that one request is sent to.
	MaxAttempts int
	// Public reports whether requests need no API key.
	Public  bool
	Targets []Target
	// AllowedRegions are the regions whose upstreams may get the requests; nil means all.
	AllowedRegions []string
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Engine describes the batching inference engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// KVCacheTokens is the size of the KV cache for running and cached tokens.
	KVCacheTokens int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// WarmUpTime is how long an upstream warms up after its start, and WarmUpPerSecond
	// the rate of requests that it tolerates meanwhile.
	WarmUpTime      time.Duration
	WarmUpPerSecond float64
	// Engine is nil for a service without inference engines.
	Engine *Engine
}

// WarmsUp reports whether the service's upstreams warm up after their start.
func (s *Service) WarmsUp() bool { return s.WarmUpTime > 0 || s.WarmUpPerSecond > 0 }

// Workspace is a customer with its API keys and its quota.
type Workspace struct {
	Name    string
	APIKeys []string
	// Tier takes precedence over the route's tier; a negative tier means none.
	Tier int
	// QuotaPerSecond is the quota's rate; 0 means no quota.
	QuotaPerSecond float64
	// QuotaBurst is the quota's burst size.
	QuotaBurst float64
	// QuotaCountsTokens reports whether the quota counts tokens instead of requests.
	QuotaCountsTokens bool
	// DefaultTokens is the number of tokens charged for a request without token counts.
	DefaultTokens float64
	// AllowedRegions are the regions whose upstreams may get the workspace's requests; nil
	// means all.
	AllowedRegions []string
}

// Limits bound the size of callers' requests, the time to send them and the time that
// a connection may be idle.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Content is the content of one version of the configuration.
type Content struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Catalog is one version of the configuration, indexed for lookups.
type Catalog struct {
	content         Content
	routesByHost    map[string][]*Route
	services        map[string]*Service
	workspaces      map[string]*Workspace
	workspacesByKey map[string]*Workspace
}

// New returns a catalog of the content, which must not be changed afterwards.
func New(content Content) *Catalog {
	c := &Catalog{
		content:         content,
		routesByHost:    make(map[string][]*Route),
		services:        make(map[string]*Service),
		workspaces:      make(map[string]*Workspace),
		workspacesByKey: make(map[string]*Workspace),
	}
	for i := range content.Routes {
		route := &content.Routes[i]
		c.routesByHost[route.Host] = append(c.routesByHost[route.Host], route)
	}
	for _, routes := range c.routesByHost {
		// Sorted by descending length, so that the first match is the longest.
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range content.Services {
		c.services[content.Services[i].Name] = &content.Services[i]
	}
	for i := range content.Workspaces {
		workspace := &content.Workspaces[i]
		c.workspaces[workspace.Name] = workspace
		for _, key := range workspace.APIKeys {
			c.workspacesByKey[key] = workspace
		}
	}
	return c
}

// Version returns the configuration's version. A process never replaces a catalog with
// one of a lower version.
func (c *Catalog) Version() int64 { return c.content.Version }

// Limits returns the limits on callers.
func (c *Catalog) Limits() Limits { return c.content.Limits }

// Route returns the route with the longest prefix of the path, or nil.
func (c *Catalog) Route(host, path string) *Route {
	for _, route := range c.routesByHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Service returns the service with the name, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// Workspaces returns all workspaces.
func (c *Catalog) Workspaces() []Workspace { return c.content.Workspaces }

// HasWorkspaces reports whether there are workspaces, so that requests need an API key.
func (c *Catalog) HasWorkspaces() bool { return len(c.workspaces) > 0 }

// WorkspaceByKey returns the workspace of the API key, or nil.
func (c *Catalog) WorkspaceByKey(key string) *Workspace { return c.workspacesByKey[key] }

// AllowedRegions returns the regions that both the route and the workspace allow, and
// whether any of them restricts the regions at all.
func AllowedRegions(route *Route, workspace *Workspace) (regions []string, restricted bool) {
	switch {
	case workspace == nil || workspace.AllowedRegions == nil:
		return route.AllowedRegions, route.AllowedRegions != nil
	case route.AllowedRegions == nil:
		return workspace.AllowedRegions, true
	}
	for _, region := range route.AllowedRegions {
		if slices.Contains(workspace.AllowedRegions, region) {
			regions = append(regions, region)
		}
	}
	return regions, true
}

// tierWidth is the number of route tiers within one workspace tier.
const tierWidth = 16

// Tier returns the priority of a workspace's requests on the route; 0 is served first.
// Requests are ranked by the workspace's tier and, within it, by the route's tier. The
// route's tier replaces a missing workspace tier.
func (c *Catalog) Tier(route *Route, workspace *Workspace) int {
	workspaceTier := route.Tier
	if workspace != nil && workspace.Tier >= 0 {
		workspaceTier = workspace.Tier
	}
	return workspaceTier*tierWidth + min(route.Tier, tierWidth-1)
}
