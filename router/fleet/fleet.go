// Package fleet is what the router knows of its endpoints. It feeds the VM list,
// probe answers and observations to the decisions of packages membership, health
// and selection, and it sends the probes.
package fleet
