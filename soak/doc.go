// Package soak holds a randomized test of whole gateways: real processes in front
// of endpoints and a store, with faults injected from outside them. It checks
// what callers and endpoints see. CI runs one short seed; by hand:
//
//	go test ./soak -soak.seeds 50 -soak.first 1000 -soak.for 6s
package soak
