package storage

import (
	"context"
	"fmt"
	"net/http"
)

// MaxObjectBytes bounds one object; larger writes are refused by the client.
const MaxObjectBytes = 16 << 20

// Objects is a client of the object store. It is safe for concurrent use.
type Objects struct {
	caller caller
}

// NewObjects returns a client; it opens no connection yet.
func NewObjects(o Options) *Objects {
	return &Objects{caller: newCaller(o)}
}

// Get reads one object. Errors: ErrNotFound, ErrUnavailable, ErrTooLarge.
func (s *Objects) Get(ctx context.Context, key string) ([]byte, Revision, error) {
	path, err := keyPath("/objects/", key)
	if err != nil {
		return nil, "", err
	}
	a, err := s.caller.do(ctx, call{operation: OpObjectGet, method: http.MethodGet, path: path, limit: MaxObjectBytes})
	if err != nil {
		return nil, "", fmt.Errorf("get object %s: %w", key, err)
	}
	return a.body, a.revision(), nil
}

// Put writes the object unconditionally. Writing the same value again is
// harmless, so a caller may repeat a put with ErrOutcomeUnknown.
func (s *Objects) Put(ctx context.Context, key string, value []byte) (Revision, error) {
	path, err := keyPath("/objects/", key)
	if err != nil {
		return "", err
	}
	if len(value) > MaxObjectBytes {
		return "", fmt.Errorf("put object %s: %w: %d bytes, at most %d", key, ErrRejected, len(value), MaxObjectBytes)
	}
	a, err := s.caller.do(ctx, call{operation: OpObjectPut, method: http.MethodPut, path: path, body: value, write: true, limit: maxAckBytes})
	if err != nil {
		return "", fmt.Errorf("put object %s: %w", key, err)
	}
	return a.revision(), nil
}

// Delete removes the object; an absent object yields ErrNotFound.
func (s *Objects) Delete(ctx context.Context, key string) error {
	path, err := keyPath("/objects/", key)
	if err != nil {
		return err
	}
	_, err = s.caller.do(ctx, call{operation: OpObjectDelete, method: http.MethodDelete, path: path, write: true, limit: maxAckBytes})
	if err != nil {
		return fmt.Errorf("delete object %s: %w", key, err)
	}
	return nil
}
