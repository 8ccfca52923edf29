// Package dispatch follows one request from admission to its end: it sends
// attempts to agents, reads their frames, continues broken streams, and decides
// with package recovery what the caller is told.
package dispatch

import (
	"time"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// Request is an authenticated request of a client account.
type Request struct {
	// ID follows the request to the endpoint and back.
	ID       string
	Account  *catalog.ClientAccount
	Profile  *catalog.Profile
	Received time.Time
	// CatalogVersion is the version by which the request was resolved.
	CatalogVersion uint64

	// Exactly one of Chat and Service is set.
	Chat    *rpc.ChatWork
	Service *rpc.ServiceWork

	IdempotencyKey string
	// BodyDigest covers what is run: method, path, query and body.
	BodyDigest []byte
}

// Sink receives the answer of a request in order. An error means that the
// caller is gone.
type Sink interface {
	Head(*rpc.ResponseHead) error
	Chunk(*rpc.Chunk) error
	Done(*rpc.Done) error
}
