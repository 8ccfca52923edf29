package agent

import (
	"context"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiowind/pistachiowind/agent/claim"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// newLedger returns the at-most-once record; address is where other agents ask
// this one about its claims.
func newLedger(opts Options, incarnation, address string, client *http.Client) *claim.Ledger {
	return claim.New(claim.Options{
		Table:   opts.Table,
		Objects: opts.Objects,
		Owners:  &ownerClient{client: client, url: peerURL(opts)},
		Agent:   incarnation,
		Address: address,
		Seed:    xxhash.Sum64String(incarnation),
	})
}

// ownerClient asks other agents about claims that they wrote.
type ownerClient struct {
	client *http.Client
	url    func(string) string
}

// ClaimStatus implements claim.Owners.
func (c *ownerClient) ClaimStatus(ctx context.Context, address, agent, nonce string) (claim.Status, *claim.Outcome, error) {
	owner := rpc.NewAgentProtobufClient(c.url(address), c.client)
	resp, err := owner.ClaimStatus(ctx, &rpc.ClaimStatusRequest{Agent: agent, Nonce: nonce})
	if err != nil {
		return claim.StatusUnknown, nil, err
	}
	return claim.ParseStatus(resp)
}
