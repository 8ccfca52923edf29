package agent

import (
	"context"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiowind/pistachiowind/agent/claim"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// newLedger returns the ledger of at-most-once claims; address is where other agents
// ask this one about its claims.
func newLedger(opts Options, incarnation, address string, client *http.Client) *claim.Ledger {
	return claim.New(claim.Options{
		Table:   opts.Table,
		Objects: opts.Objects,
		Owners:  &claimOwnerClient{client: client, peerURL: peerURL(opts)},
		Agent:   incarnation,
		Address: address,
		Seed:    xxhash.Sum64String(incarnation),
	})
}

// claimOwnerClient asks other agents about claims that they own.
type claimOwnerClient struct {
	client  *http.Client
	peerURL func(string) string
}

// ClaimStatus implements claim.Owners.
func (c *claimOwnerClient) ClaimStatus(ctx context.Context, address, agent, nonce string) (claim.Status, *claim.Outcome, error) {
	owner := rpc.NewAgentProtobufClient(c.peerURL(address), c.client)
	resp, err := owner.ClaimStatus(ctx, &rpc.ClaimStatusRequest{Agent: agent, Nonce: nonce})
	if err != nil {
		return claim.StatusUnknown, nil, err
	}
	return claim.ParseStatus(resp)
}
