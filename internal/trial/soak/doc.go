// Package soak runs the real gateways as separate processes on loopback
// addresses, in front of stand-ins of the store and of upstreams, and injects
// faults from outside: signals to the processes, harmed connections by relays,
// a store and upstreams that misbehave. While it runs, and at its end, it checks
// what the pages promise by what callers and upstreams see. All of it is tests.
package soak
