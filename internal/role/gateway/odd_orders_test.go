package gateway_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
)

// configWith returns a configuration of version 2 with values in place of those of fields, each
// named by its place and its name.
func configWith(field, value string) string {
	fields := map[string]string{
		"route.timeoutMs": "15000", "route.targetLatencyMs": "600", "route.priority": "0", "route.maxAttempts": "2", "route.gapAimMs": "250",
		"route.trafficSplit": "null", "service.coldStartS": "0", "service.coldPerS": "0", "service.maxConnections": "0",
		"engine.slots": "2", "engine.stride": "6", "engine.kvCacheTokens": "100000",
		"limits.maxBodyBytes": "4194304", "limits.maxHeaderBytes": "16384", "limits.idleTimeoutMs": "15000", "limits.headerTimeoutMs": "3000",
		"tenant.priority": "1", "tenant.ratePerS": "1000", "tenant.burst": "1000", "tenant.plainTokens": "10",
	}
	fields[field] = value
	part := func(place string) string {
		var encoded strings.Builder
		for name, text := range fields {
			if after, found := strings.CutPrefix(name, place+"."); found {
				fmt.Fprintf(&encoded, ",%q:%s", after, text)
			}
		}
		return encoded.String()
	}
	return fmt.Sprintf(`{"version":2,"routes":[{"name":"r","hostname":"h","prefix":"/new/","kind":"streaming","service":"tutor","streamResume":true%s}],
		"services":[{"name":"tutor","engine":{%s}%s}],"limits":{%s},"tenants":[{"name":"studio","apiKeys":["key"]%s}]}`,
		part("route"), part("engine")[1:], part("service"), part("limits")[1:], part("tenant"))
}

// Guards against a configuration with a value as large as its type that ends gateways, or with
// which requests are refused because the value overflows.
func TestConfigurationWithHugeValues(t *testing.T) {
	const largest = "9223372036854775807"
	for _, c := range []struct{ field, value string }{
		{"route.timeoutMs", largest}, {"route.timeoutMs", "9223372036855"}, {"route.targetLatencyMs", largest}, {"route.gapAimMs", largest},
		{"route.maxAttempts", largest}, {"route.priority", largest},
		{"route.trafficSplit", `[{"service":"tutor","weight":1e308},{"service":"tutor","weight":1e308}]`},
		{"service.coldStartS", "1e300"}, {"service.coldPerS", "1e300"}, {"service.maxConnections", largest},
		{"engine.slots", largest}, {"engine.stride", largest}, {"engine.kvCacheTokens", largest},
		{"limits.maxBodyBytes", largest}, {"limits.maxHeaderBytes", largest}, {"limits.idleTimeoutMs", largest}, {"limits.headerTimeoutMs", largest},
		{"tenant.priority", largest}, {"tenant.ratePerS", "1e308"}, {"tenant.burst", "1e308"}, {"tenant.plainTokens", "1e308"},
	} {
		t.Run(c.field+" "+c.value[:4], func(t *testing.T) {
			var outcomes []outcome
			runFleet(t, func(f *fleet) {
				f.store.Put("op/config", configWith(c.field, c.value))
				bubble.Sleep(f.settings(0).ConfigApplyLimit)
				for range 3 {
					outcomes = append(outcomes, f.callAll(engines*slots, "/new/x")...)
				}
			})
			require.Equal(t, len(outcomes), countServed(outcomes))
		})
	}
}

// Guards against a value of an operators' key that cannot be read and ends gateways, or keeps
// the next change from them.
func TestUnreadableOrdersKeepNothingFromGateways(t *testing.T) {
	deep := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)
	for name, value := range map[string]string{
		"nested": deep, "nested in a field": `{"version":2,"service":"tutor","target":"v2","more":` + deep + `}`,
		"too large": `{"version":1e400,"service":"tutor","target":"v2","durationS":1e400}`, "text": `"x"`, "empty": "",
		"huge": `{"version":-9223372036854775808,"service":"tutor","target":"v2","durationS":1e300}`,
	} {
		t.Run(name, func(t *testing.T) {
			var held, next []outcome
			var status string
			runFleet(t, func(f *fleet) {
				f.register(0, "z", "")
				for _, key := range []string{"op/config", "op/rollout/tutor", "op/evacuate/z"} {
					f.store.Put(key, value)
				}
				bubble.Sleep(f.settings(0).ConfigApplyLimit)
				held = f.callAll(engines, "/old/x")
				f.putConfig(3, "/new/")
				bubble.Sleep(f.settings(0).ConfigApplyLimit)
				next = f.callAll(engines, "/new/x")
				bubble.Sleep(evacuationLimit)
				status = f.store.Value("status/rollout/tutor")
			})
			require.Equal(t, len(held), countServed(held), "the configuration before holds")
			require.Equal(t, len(next), countServed(next))
			require.Empty(t, status, "there is no rollout")
		})
	}
}
