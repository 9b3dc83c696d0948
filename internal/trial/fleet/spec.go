package fleet

import (
	"fmt"
	"sort"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/config/document"
	"github.com/persimmonridge/persimmonridge/internal/config/inventory"
	"github.com/persimmonridge/persimmonridge/internal/standin/engine"
	"github.com/persimmonridge/persimmonridge/internal/trial/load"
)

// Sizes of a site that is derived from an inventory.
const (
	defaultEntries    = 2
	defaultPartitions = 4
	modelUpstreams    = 20
	plainUpstreams    = 3
	// tokenGapTarget is what an upstream's limit aims at in trials, where
	// everything is several times faster than at a real site.
	tokenGapTarget = 12 * time.Millisecond
)

// generations are the token gaps of the four kinds of hardware.
var generations = []time.Duration{3 * time.Millisecond, 4 * time.Millisecond, 5 * time.Millisecond, 8 * time.Millisecond}

// ShapeOf derives a trial site from an operator's files: stand-ins for every
// service, in its current version, spread over the failure domains.
func ShapeOf(inventoryFile, rulesFile []byte, seed uint64) (Shape, error) {
	doc, findings := document.Build(inventoryFile, rulesFile)
	if len(findings) > 0 {
		return Shape{}, NotStarted.New("%s; run `persimmonridge check` on the files", findings[0].String())
	}
	s := Shape{Inventory: inventoryFile, Rules: rulesFile, Entries: defaultEntries, Partitions: defaultPartitions, Seed: seed, Network: &OS{}}
	inv := doc.Inventory()
	domains := inv.FailureDomains()
	for _, name := range inv.ServiceNames() {
		service, _ := inv.Service(name)
		version, ok := doc.Rules().Current(name)
		if !ok {
			version = service.Versions()[0]
		}
		if service.Kind() == inventory.Model {
			for i := range modelUpstreams {
				s.Engines = append(s.Engines, engineShape(name, version, i, domains, seed))
			}
			continue
		}
		for i := range plainUpstreams {
			s.Bookings = append(s.Bookings, BookingShape{Name: fmt.Sprintf("%s-%02d", name, i), Service: name, Version: version, Domain: domains[i%len(domains)], Delay: 15 * time.Millisecond})
		}
	}
	return s, nil
}

func engineShape(service, version string, i int, domains []string, seed uint64) EngineShape {
	gap := generations[i%len(generations)]
	return EngineShape{
		Name: fmt.Sprintf("%s-%02d", service, i), Service: service, Version: version, Domain: domains[i%len(domains)],
		Weight: float64(generations[0]) / float64(gap), Limit: 8, MaxLimit: 16, TokenGap: tokenGapTarget,
		Settings: engine.Settings{
			TokenGap: gap, Knee: 8, PrefillRate: 20000, CacheTokens: 6000, LoadLag: 500 * time.Millisecond,
			RestartAfter: 300 * time.Millisecond, Seed: seed + uint64(i),
		},
	}
}

// PlanOf derives a load from the same files. Model actions get lengths that
// span a hundredfold over the actions, in order of their tiers.
func PlanOf(shape Shape, duration time.Duration) (load.Plan, []string, error) {
	doc, findings := document.Build(shape.Inventory, shape.Rules)
	if len(findings) > 0 {
		return load.Plan{}, nil, NotStarted.New("%s; run `persimmonridge check` on the files", findings[0].String())
	}
	plan := load.Plan{Seed: shape.Seed, Duration: duration, Rate: 80, Burst: 2.5, PrefixBytes: 4000}
	inv := doc.Inventory()
	plan.Workspaces = inv.Workspaces()
	sort.SliceStable(plan.Workspaces, func(i, j int) bool {
		a, _ := inv.WorkspaceSize(plan.Workspaces[i])
		b, _ := inv.WorkspaceSize(plan.Workspaces[j])
		return a == inventory.Large && b != inventory.Large
	})
	for _, name := range inv.ServiceNames() {
		service, _ := inv.Service(name)
		for _, action := range service.Actions() {
			plan.Actions = append(plan.Actions, actionOf(doc, service, action))
		}
	}
	return plan, doc.Rules().Tiers(), nil
}

// lengths are the answer lengths of model actions by their tier: long
// critiques, quick answers, short tags.
var lengths = [][2]int{{150, 450}, {20, 120}, {4, 16}}

func actionOf(doc document.Document, service inventory.Service, action inventory.Action) load.Action {
	rule := doc.Rules().Action(action.Route())
	a := load.Action{Name: action.Route(), Tier: rule.Tier(), Weight: 1, Deadline: rule.Deadline()}
	if service.Kind() == inventory.Model {
		length := lengths[min(rule.Tier(), len(lengths)-1)]
		a.Model, a.MinTokens, a.MaxTokens = action.Route(), length[0], length[1]
		a.Weight = 2
		return a
	}
	a.Method, a.Path = action.Method(), "/"+service.Name()+examplePath(action.Path())
	a.Keyed = !rule.RepeatSafe()
	a.TwiceShare = 0.2
	a.Weight = 0.3
	return a
}

// examplePath fills a path's parameters in.
func examplePath(pattern string) string {
	out := []byte{}
	inside := false
	for _, c := range []byte(pattern) {
		switch {
		case c == '{':
			inside = true
			out = append(out, "evening"...)
		case c == '}':
			inside = false
		case !inside:
			out = append(out, c)
		}
	}
	return string(out)
}
