package catalog

import (
	"context"
	"net/http"

	"github.com/pistachiowind/pistachiowind/rpc"
)

// SnapshotMessage is Holder.Snapshot as a message for other processes.
func SnapshotMessage(holder *Holder, have uint64) *rpc.CatalogSnapshot {
	version, body, err := holder.Snapshot(have)
	if err != nil {
		// A catalog in force was decoded from JSON, so it can be encoded; a message
		// without a version makes the asking process adopt nothing.
		return &rpc.CatalogSnapshot{}
	}
	return &rpc.CatalogSnapshot{Version: version, Body: body}
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
