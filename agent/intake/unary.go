package intake

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/pistachiowind/pistachiowind/agent/execution"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// Identity is what an agent reports about itself in a probe.
type Identity struct {
	Incarnation      string
	Service          string
	AvailabilityZone string
	Region           string
}

// Claims reports what this incarnation knows about a claim.
type Claims interface {
	ClaimStatus(ctx context.Context, req *rpc.ClaimStatusRequest) (*rpc.ClaimStatusResponse, error)
}

// Orders checks the fencing number of an order and forwards the order to the
// endpoint.
type Orders interface {
	Order(ctx context.Context, req *rpc.OrderRequest) (*rpc.OrderResponse, error)
}

// CatalogSource provides the catalog in force.
type CatalogSource interface {
	// Snapshot returns the catalog as JSON, without the body if its version is
	// not newer than haveVersion.
	Snapshot(haveVersion uint64) *rpc.CatalogSnapshot
}

// Unary implements the twirp service Agent.
type Unary struct {
	Identity Identity
	Worker   Worker
	Claims   Claims
	Orders   Orders
	Catalog  CatalogSource
	Models   func() []string
}

// Probe reports the agent's identity, load and models.
func (u *Unary) Probe(_ context.Context, req *rpc.ProbeRequest) (*rpc.ProbeResponse, error) {
	u.Worker.NoteRouter(req.GetRouterAddress())
	if req.GetCatalogVersion() > u.Worker.CatalogVersion() {
		u.Worker.CatalogVersionSeen(req.GetCatalogVersion(), req.GetRouterAddress())
	}
	return &rpc.ProbeResponse{
		Agent:            u.Identity.Incarnation,
		CatalogVersion:   u.Worker.CatalogVersion(),
		Load:             u.Worker.Load(time.Now()),
		Models:           u.Models(),
		Service:          u.Identity.Service,
		AvailabilityZone: u.Identity.AvailabilityZone,
		Region:           u.Identity.Region,
	}, nil
}

// Renounce gives an attempt up. For an attempt sent to another incarnation it
// reports an unknown execution.
func (u *Unary) Renounce(_ context.Context, req *rpc.RenounceRequest) (*rpc.RenounceResponse, error) {
	resp := &rpc.RenounceResponse{Agent: u.Identity.Incarnation, Execution: rpc.Execution_EXECUTION_UNKNOWN}
	if req.GetAgent() != u.Identity.Incarnation {
		return resp, nil
	}
	id := execution.ID{Router: req.GetAttempt().GetRouter(), Ticket: req.GetAttempt().GetTicket()}
	if id.Router == "" {
		return nil, twirp.RequiredArgumentError("attempt.router")
	}
	resp.Execution = rpc.ExecutionOf(u.Worker.Renounce(time.Now(), id))
	return resp, nil
}

// ClaimStatus reports what this incarnation knows about a claim that it wrote.
func (u *Unary) ClaimStatus(ctx context.Context, req *rpc.ClaimStatusRequest) (*rpc.ClaimStatusResponse, error) {
	return u.Claims.ClaimStatus(ctx, req)
}

// FetchCatalog returns the catalog in force at this process.
func (u *Unary) FetchCatalog(_ context.Context, req *rpc.FetchCatalogRequest) (*rpc.CatalogSnapshot, error) {
	return u.Catalog.Snapshot(req.GetHaveVersion()), nil
}

// Order forwards a fenced order to the endpoint.
func (u *Unary) Order(ctx context.Context, req *rpc.OrderRequest) (*rpc.OrderResponse, error) {
	return u.Orders.Order(ctx, req)
}
