package catalog

import (
	"context"
	"net/http"

	"github.com/pistachiowind/pistachiowind/rpc"
)

// Snapshot returns the catalog in force at a holder as a message, without its
// body when the asking process has the same version or a newer one.
func Snapshot(holder *Holder, have uint64) *rpc.CatalogSnapshot {
	current := holder.Current()
	snapshot := &rpc.CatalogSnapshot{Version: current.Version()}
	if current.Version() <= have {
		return snapshot
	}
	body, err := Encode(current.Catalog())
	if err != nil {
		// A catalog in force was decoded from JSON, so it can be encoded; without
		// a body the asking process would adopt nothing.
		return &rpc.CatalogSnapshot{}
	}
	snapshot.Body = body
	return snapshot
}

// catalogClient is the part that the clients of routers and agents share.
type catalogClient interface {
	FetchCatalog(context.Context, *rpc.FetchCatalogRequest) (*rpc.CatalogSnapshot, error)
}

// PeerClient asks other processes for their catalog. It implements PeerFetcher.
type PeerClient struct {
	client func(peer string) catalogClient
}

// NewAgentClient returns a client that asks agents; url makes a base URL of a
// peer address.
func NewAgentClient(url func(string) string, client *http.Client) *PeerClient {
	return &PeerClient{client: func(peer string) catalogClient {
		return rpc.NewAgentProtobufClient(url(peer), client)
	}}
}

// NewRouterClient returns a client that asks routers; url makes a base URL of a
// peer address.
func NewRouterClient(url func(string) string, client *http.Client) *PeerClient {
	return &PeerClient{client: func(peer string) catalogClient {
		return rpc.NewRouterProtobufClient(url(peer), client)
	}}
}

// FetchCatalog returns the version at the peer, and its document if that is
// above have.
func (c *PeerClient) FetchCatalog(ctx context.Context, peer string, have uint64) (uint64, []byte, error) {
	snapshot, err := c.client(peer).FetchCatalog(ctx, &rpc.FetchCatalogRequest{HaveVersion: have})
	if err != nil {
		return 0, nil, err
	}
	return snapshot.GetVersion(), snapshot.GetBody(), nil
}
