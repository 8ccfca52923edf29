//go:build race

package e2e_test

// buildFlags builds the programs with the race detector when the tests have it.
var buildFlags = []string{"-race"}
