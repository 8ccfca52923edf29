package router

import (
	"time"

	"github.com/pistachiowind/pistachiowind/router/dispatch"
)

// openBudget allows every further attempt; the attempts of one request are
// bounded by package recovery.
type openBudget struct{}

// First does nothing.
func (openBudget) First(time.Time, string) {}

// Retry allows the attempt.
func (openBudget) Retry(time.Time, string) bool { return true }

func (r *Router) newBudget() dispatch.Budget { return openBudget{} }
