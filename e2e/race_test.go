//go:build race

package e2e_test

// buildFlags enables the race detector in the program under test when the tests run
// with it.
var buildFlags = []string{"-race"}
