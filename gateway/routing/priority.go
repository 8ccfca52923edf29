package routing

// Priority orders requests that compete for endpoints. The rank of the client account
// comes first; that of the route decides only among accounts of the same rank.
type Priority struct {
	// Rank is the rank of the client account, or of the route where the account
	// has none; 0 is the most urgent.
	Rank int
	// RouteRank is the rank of the route.
	RouteRank int
}

// Priority returns the priority of a request of an account; a may be nil.
func (r *Route) Priority(a *Account) Priority {
	p := Priority{Rank: r.Rank, RouteRank: r.Rank}
	if a != nil && a.Rank != nil {
		p.Rank = *a.Rank
	}
	return p
}

// Before reports whether p is served before o.
func (p Priority) Before(o Priority) bool {
	if p.Rank != o.Rank {
		return p.Rank < o.Rank
	}
	return p.RouteRank < o.RouteRank
}
