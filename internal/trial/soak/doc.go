// Package soak contains the soak test. It runs real gateways as separate processes
// on loopback addresses, in front of stand-ins for the store and the upstreams,
// and injects faults from outside: signals to the processes, connections that
// relays disturb, and a store and upstreams that misbehave. During the run and at
// its end it checks the documented guarantees by what callers and upstreams
// observe.
package soak
