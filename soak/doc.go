// Package soak holds a randomized fault-injection test of complete gateways: gateway
// processes in front of endpoints and a store, with faults injected from outside the
// processes. It checks what callers and endpoints observe. CI runs one short seed. To
// run more:
//
//	go test ./soak -soak.seeds 50 -soak.first 1000 -soak.for 6s
package soak
