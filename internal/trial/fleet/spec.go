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

// Sizes of a site that is derived from an inventory. The numbers of upstreams are
// per service.
const (
	defaultEntries           = 2
	defaultPartitions        = 4
	modelUpstreamsPerService = 20
	plainUpstreamsPerService = 3
	// tokenGapTarget is the token gap that concurrency limits aim for. It is
	// several times shorter than at a real site, as the stand-in engines are faster.
	tokenGapTarget = 12 * time.Millisecond
)

// hardwareTokenGaps are the token gaps of four hardware generations.
var hardwareTokenGaps = []time.Duration{3 * time.Millisecond, 4 * time.Millisecond, 5 * time.Millisecond, 8 * time.Millisecond}

// NewSpec derives a site from an operator's files: upstreams for every service,
// in its current version, spread over the failure domains.
func NewSpec(inventoryFile, rulesFile []byte, seed uint64) (Spec, error) {
	doc, findings := document.Build(inventoryFile, rulesFile)
	if len(findings) > 0 {
		return Spec{}, NotStarted.New("%s; run `persimmonridge check` on the files", findings[0].String())
	}
	spec := Spec{Inventory: inventoryFile, Rules: rulesFile, Entries: defaultEntries, Partitions: defaultPartitions, Seed: seed, Network: &OS{}}
	inv := doc.Inventory()
	domains := inv.FailureDomains()
	for _, name := range inv.ServiceNames() {
		service, _ := inv.Service(name)
		version, ok := doc.Rules().Current(name)
		if !ok {
			version = service.Versions()[0]
		}
		if service.Kind() == inventory.Model {
			for i := range modelUpstreamsPerService {
				spec.Engines = append(spec.Engines, newEngineSpec(name, version, i, domains, seed))
			}
			continue
		}
		for i := range plainUpstreamsPerService {
			spec.Bookings = append(spec.Bookings, BookingSpec{Name: fmt.Sprintf("%s-%02d", name, i), Service: name, Version: version, Domain: domains[i%len(domains)], Delay: 15 * time.Millisecond})
		}
	}
	return spec, nil
}

func newEngineSpec(service, version string, number int, domains []string, seed uint64) EngineSpec {
	tokenGap := hardwareTokenGaps[number%len(hardwareTokenGaps)]
	return EngineSpec{
		Name: fmt.Sprintf("%s-%02d", service, number), Service: service, Version: version, Domain: domains[number%len(domains)],
		Weight: float64(hardwareTokenGaps[0]) / float64(tokenGap), Limit: 8, MaxLimit: 16, TokenGap: tokenGapTarget,
		Settings: engine.Settings{
			TokenGap: tokenGap, Knee: 8, PrefillRate: 20000, CacheTokens: 6000, LoadLag: 500 * time.Millisecond,
			RestartAfter: 300 * time.Millisecond, Seed: seed + uint64(number),
		},
	}
}

// NewLoadPlan derives a load plan from the files of the spec, and returns it with the
// names of the tiers. The answer length of a model action depends on its tier;
// over all tiers the lengths span a factor of about 100.
func NewLoadPlan(spec Spec, duration time.Duration) (load.Plan, []string, error) {
	doc, findings := document.Build(spec.Inventory, spec.Rules)
	if len(findings) > 0 {
		return load.Plan{}, nil, NotStarted.New("%s; run `persimmonridge check` on the files", findings[0].String())
	}
	plan := load.Plan{Seed: spec.Seed, Duration: duration, Rate: 80, Burst: 2.5, PrefixBytes: 4000}
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
			plan.Actions = append(plan.Actions, newLoadAction(doc, service, action))
		}
	}
	return plan, doc.Rules().Tiers(), nil
}

// answerLengthsByTier are the minimum and maximum answer lengths of model actions,
// in tokens: long critiques, quick answers, short tags.
var answerLengthsByTier = [][2]int{{150, 450}, {20, 120}, {4, 16}}

func newLoadAction(doc document.Document, service inventory.Service, action inventory.Action) load.Action {
	rule := doc.Rules().Action(action.Route())
	loadAction := load.Action{Name: action.Route(), Tier: rule.Tier(), Weight: 1, Deadline: rule.Deadline()}
	if service.Kind() == inventory.Model {
		bounds := answerLengthsByTier[min(rule.Tier(), len(answerLengthsByTier)-1)]
		loadAction.Model, loadAction.MinTokens, loadAction.MaxTokens = action.Route(), bounds[0], bounds[1]
		loadAction.Weight = 2
		return loadAction
	}
	loadAction.Method, loadAction.Path = action.Method(), "/"+service.Name()+fillPathParameters(action.Path())
	loadAction.Keyed = !rule.RepeatSafe()
	loadAction.DuplicateShare = 0.2
	loadAction.Weight = 0.3
	return loadAction
}

// fillPathParameters replaces the parameters of a path pattern by a sample value.
func fillPathParameters(pattern string) string {
	filled := []byte{}
	inParameter := false
	for _, c := range []byte(pattern) {
		switch {
		case c == '{':
			inParameter = true
			filled = append(filled, "evening"...)
		case c == '}':
			inParameter = false
		case !inParameter:
			filled = append(filled, c)
		}
	}
	return string(filled)
}
