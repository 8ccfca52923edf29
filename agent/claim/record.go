// Package claim ensures that a request that must not run twice, identified by its
// idempotency key, runs at most once within Retention. Before such a request runs,
// its agent creates a row for the key by a conditional write; the row decides
// between agents that have requests with the same key. After the run the row keeps
// the answer for callers that send the key again.
package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
)

const (
	// Retention is how long the answer of a key is kept. A key that is sent
	// again later runs again.
	Retention = 24 * time.Hour
	// InlineBytes bounds the body of an answer that is kept in the row; a larger
	// one is kept in the object store.
	InlineBytes = 16 << 10

	rowPrefix    = "claim/"
	objectPrefix = "claim/"
	recordFormat = 1
)

// Key identifies a request that must run at most once. The same key of another
// client account or service is another request.
type Key struct {
	ClientAccount string `json:"client_account"`
	Service       string `json:"service"`
	// IdempotencyKey is the caller's header, unchanged.
	IdempotencyKey string `json:"idempotency_key"`
}

// RowKey returns the key of the claim's row. It is a hash of the three parts with
// their lengths, so that all keys have the same size, different splits into parts
// give different keys, and a sweep from a random position reaches each row with
// the same probability.
func (k Key) RowKey() string {
	h := sha256.New()
	for _, part := range []string{k.ClientAccount, k.Service, k.IdempotencyKey} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	return rowPrefix + hex.EncodeToString(h.Sum(nil))
}

// RecordState is the state of a claim's row.
type RecordState string

// States of a row.
const (
	// RecordStarted means that the owner may be running the request.
	RecordStarted RecordState = "started"
	// RecordDone means that the request ran and its answer is kept.
	RecordDone RecordState = "done"
	// RecordReleased means that the owner did not run the request and never will
	// under this nonce.
	RecordReleased RecordState = "released"
	// RecordUnknown means that the request may have run and has no answer.
	RecordUnknown RecordState = "unknown"
)

// Record is the value of a claim's row.
type Record struct {
	Format int `json:"format"`
	Key
	// Digest is the hash of the request's method, path and body.
	Digest []byte `json:"digest"`
	// Agent is the incarnation of the owner, which is reached at Address.
	Agent   string `json:"agent"`
	Address string `json:"address"`
	// Nonce identifies the attempt that holds the claim.
	Nonce string      `json:"nonce"`
	State RecordState `json:"state"`
	// ClaimedAt is by the owner's wall clock. Only the retention uses it, which
	// tolerates a difference of one hour between clocks.
	ClaimedAt time.Time `json:"claimed_at"`
	Outcome   *Outcome  `json:"outcome,omitempty"`
}

// Outcome is the result of a run.
type Outcome struct {
	// Execution is Ran with an answer; NotRun if the endpoint certainly did not
	// run the request; Unknown if it may have run it without an answer.
	Execution resultcode.Execution `json:"execution"`
	Status    int                  `json:"status,omitempty"`
	Headers   []Header             `json:"headers,omitempty"`
	Body      []byte               `json:"body,omitempty"`
	// Omitted reports that the answer was too large to keep: the request ran, and
	// its answer cannot be replayed.
	Omitted bool `json:"omitted,omitempty"`
	// Object is the key of the body in the object store; empty if it is inline.
	Object string `json:"object,omitempty"`
	// ObjectBytes is the size of that body; zero if it is not known.
	ObjectBytes int `json:"object_bytes,omitempty"`
}

// Header is one header of an answer. Order and repetitions are kept.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// finalState returns the state of a row with this outcome.
func (o Outcome) finalState() RecordState {
	switch o.Execution {
	case resultcode.Ran:
		return RecordDone
	case resultcode.NotRun:
		return RecordReleased
	}
	return RecordUnknown
}

// Encode returns the row's value.
func (r Record) Encode() ([]byte, error) {
	r.Format = recordFormat
	value, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode claim: %w", err)
	}
	return value, nil
}

// errUnknownFormat means that a row has a format that this version cannot read.
var errUnknownFormat = errors.New("claim: unknown row format")

// DecodeRecord decodes a row's value. A value of another format or with an unknown
// state is an error, because the state of its claim cannot be determined.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, fmt.Errorf("decode claim: %w", err)
	}
	if r.Format != recordFormat {
		return Record{}, fmt.Errorf("%w: %d", errUnknownFormat, r.Format)
	}
	switch r.State {
	case RecordStarted, RecordReleased, RecordUnknown:
		return r, nil
	case RecordDone:
		if r.Outcome != nil {
			return r, nil
		}
	}
	return Record{}, fmt.Errorf("%w: state %q", errUnknownFormat, r.State)
}
