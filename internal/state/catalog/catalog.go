// Package catalog is one accepted configuration: routes, services, workspaces
// and the limits on callers. A Catalog never changes; a newer version takes its
// place as a whole.
package catalog

import (
	"sort"
	"strings"
	"time"
)

// Kind tells what may be repeated.
type Kind int

// The kinds. The zero value is the one that may never be repeated.
const (
	NonIdempotent Kind = iota
	Idempotent
	Streaming
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	}
	return "non-idempotent"
}

// Target is a service that a route's requests go to, and its weight among the
// route's targets.
type Target struct {
	Service string
	Weight  float64
}

// Route tells where requests of a host and a path prefix go and what they may
// cost.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may be continued at another upstream.
	Resumable bool
	// Timeout is the longest that a caller is kept waiting.
	Timeout time.Duration
	// Objective is when a whole answer, or a stream's first event, is due.
	Objective time.Duration
	// MaxGap is the longest pause between two events that is still in time.
	MaxGap time.Duration
	// Tier ranks requests; 0 is served first.
	Tier int
	// MaxAttempts bounds the upstreams that one request is sent to.
	MaxAttempts int
	// Public routes need no key.
	Public  bool
	Targets []Target
}

// Repeatable tells whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Engine describes a batching model engine.
type Engine struct {
	Slots int
	// CacheTokens is the memory for running and cached tokens.
	CacheTokens int
	// EventTokens is how many tokens one event of a stream holds.
	EventTokens int
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Workspace is a customer: its keys and its quota.
type Workspace struct {
	Name string
	Keys []string
	// Tier ranks its requests before the route's tier does, if it is not negative.
	Tier int
	// PerSecond and Burst are its quota; PerSecond 0 means that it has none.
	PerSecond float64
	Burst     float64
	// ByTokens tells that the quota counts tokens, not requests.
	ByTokens bool
	// PlainTokens is what a request counts that names no tokens.
	PlainTokens float64
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Content is what a catalog is made of.
type Content struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Catalog is one version of the configuration, ready for look-ups.
type Catalog struct {
	content    Content
	byHost     map[string][]*Route
	services   map[string]*Service
	workspaces map[string]*Workspace
	byKey      map[string]*Workspace
}

// New indexes the content. The content must not change afterwards.
func New(content Content) *Catalog {
	c := &Catalog{
		content:    content,
		byHost:     make(map[string][]*Route),
		services:   make(map[string]*Service),
		workspaces: make(map[string]*Workspace),
		byKey:      make(map[string]*Workspace),
	}
	for i := range content.Routes {
		route := &content.Routes[i]
		c.byHost[route.Host] = append(c.byHost[route.Host], route)
	}
	for _, routes := range c.byHost {
		// Longest first, so that the first match is the longest one.
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range content.Services {
		c.services[content.Services[i].Name] = &content.Services[i]
	}
	for i := range content.Workspaces {
		workspace := &content.Workspaces[i]
		c.workspaces[workspace.Name] = workspace
		for _, key := range workspace.Keys {
			c.byKey[key] = workspace
		}
	}
	return c
}

// Version orders catalogs; a process never goes back to a lower one.
func (c *Catalog) Version() int64 { return c.content.Version }

// Limits returns the bounds on callers.
func (c *Catalog) Limits() Limits { return c.content.Limits }

// Route returns the route with the longest prefix of the path, or nil.
func (c *Catalog) Route(host, path string) *Route {
	for _, route := range c.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Service returns the service of the name, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// Workspaces returns all workspaces.
func (c *Catalog) Workspaces() []Workspace { return c.content.Workspaces }

// HasWorkspaces tells whether requests need a key.
func (c *Catalog) HasWorkspaces() bool { return len(c.workspaces) > 0 }

// Workspace returns the workspace that holds the key, or nil.
func (c *Catalog) Workspace(key string) *Workspace { return c.byKey[key] }

// tierWidth is the number of route tiers inside one tier of workspaces.
const tierWidth = 16

// Tier returns the rank of a workspace's requests on the route: the
// workspace's own tier goes first, and among workspaces of one tier the
// route's decides.
func (c *Catalog) Tier(route *Route, workspace *Workspace) int {
	first := route.Tier
	if workspace != nil && workspace.Tier >= 0 {
		first = workspace.Tier
	}
	return first*tierWidth + min(route.Tier, tierWidth-1)
}
