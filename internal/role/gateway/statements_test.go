package gateway_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/platform/standin"
)

// serviceKinds prepare a fleet for upstreams of each kind.
var serviceKinds = map[string]func(f *fleet){"engine": func(*fleet) {}, "plain service": (*fleet).putPlainConfig}

// statementConditions prepare a fleet in which gateways must keep what upstreams stated to
// them: each removes another source of knowledge.
var statementConditions = map[string]func(f *fleet){
	"engine":                func(*fleet) {},
	"plain service":         (*fleet).putPlainConfig,
	"the scheduler is lost": func(f *fleet) { f.network.Vanish(linkAddress(f.scheduler())) },
	"the scheduler stops":   func(f *fleet) { f.cancels[f.scheduler()]() },
	"the store is away":     func(f *fleet) { f.store.SetFault(standin.NoResponse) },
	"gateways are cut off from each other": func(f *fleet) {
		for i := range gateways {
			f.network.Vanish(linkAddress(i))
		}
	},
}

// state sets a header that the engine adds to its answers; an empty value removes it.
func (f *fleet) state(engine int, header, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	name := engineAddress(engine)
	if f.stated[name] == nil {
		f.stated[name] = map[string]string{}
	}
	if value == "" {
		delete(f.stated[name], header)
		return
	}
	f.stated[name][header] = value
}

// arrivalsSince returns when the engine got requests after a time.
func (f *fleet) arrivalsSince(engine int, since time.Time) []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	arrivals := slices.Clone(f.arrivals[engineAddress(engine)])
	return slices.DeleteFunc(arrivals, func(at time.Time) bool { return at.Before(since) })
}

// putPlainConfig puts a configuration whose service has no engines.
func (f *fleet) putPlainConfig() {
	f.store.Put("op/config", fmt.Sprintf(`{"version":2,
		"routes":[{"name":"r","hostname":"h","prefix":"/old/","kind":"idempotent","timeoutMs":15000,"targetLatencyMs":600,
			"service":"tutor","maxAttempts":2}],
		"services":[{"name":"tutor","slots":%d}],
		"tenants":[{"name":"studio","apiKeys":["key"]}]}`, slots))
	bubble.Sleep(2 * time.Second)
}
