package catalog

import (
	"context"
	"net/http"

	"github.com/pistachiowind/pistachiowind/rpc"
)

// SnapshotMessage returns the result of Holder.Snapshot as an RPC message. A version
// of 0 means that there is no catalog or that it could not be encoded.
func SnapshotMessage(holder *Holder, have uint64) *rpc.CatalogSnapshot {
	version, body, err := holder.Snapshot(have)
	if err != nil {
		// Not expected, because a catalog in effect was decoded from JSON. The
		// receiver adopts nothing from a message without a version.
		return &rpc.CatalogSnapshot{}
	}
	return &rpc.CatalogSnapshot{Version: version, Body: body}
}

// catalogClient is the method that the RPC clients of routers and agents share.
type catalogClient interface {
	FetchCatalog(context.Context, *rpc.FetchCatalogRequest) (*rpc.CatalogSnapshot, error)
}

// PeerClient requests the catalog of other processes by RPC. It implements
// PeerFetcher.
type PeerClient struct {
	// clientFor returns the RPC client for the peer with the given address.
	clientFor func(peer string) catalogClient
}

// NewAgentClient returns a client that queries agents. The function url returns the
// base URL for a peer address.
func NewAgentClient(url func(string) string, client *http.Client) *PeerClient {
	return &PeerClient{clientFor: func(peer string) catalogClient {
		return rpc.NewAgentProtobufClient(url(peer), client)
	}}
}

// NewRouterClient returns a client that queries routers. The function url returns
// the base URL for a peer address.
func NewRouterClient(url func(string) string, client *http.Client) *PeerClient {
	return &PeerClient{clientFor: func(peer string) catalogClient {
		return rpc.NewRouterProtobufClient(url(peer), client)
	}}
}

// FetchCatalog returns the version in effect at the peer, 0 if it has none, and its
// document as JSON if that version is higher than have. Errors are those of the RPC.
func (c *PeerClient) FetchCatalog(ctx context.Context, peer string, have uint64) (uint64, []byte, error) {
	snapshot, err := c.clientFor(peer).FetchCatalog(ctx, &rpc.FetchCatalogRequest{HaveVersion: have})
	if err != nil {
		return 0, nil, err
	}
	return snapshot.GetVersion(), snapshot.GetBody(), nil
}
