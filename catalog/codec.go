package catalog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/pistachiowind/pistachiowind/resultcode"
)

// Decode decodes and validates a document from an operator. Unknown fields,
// trailing data and documents above MaxBytes are refused. All errors have the code
// InvalidCatalog.
func Decode(body []byte) (*Catalog, error) {
	var c Catalog
	if err := decodeStrict(body, &c); err != nil {
		return nil, err
	}
	if err := Validate(&c); err != nil {
		return nil, err
	}
	return &c, nil
}

// DecodeProfile decodes one profile as strictly and with the same errors as Decode. It
// does not validate the profile; that happens with the whole catalog when the change
// is put.
func DecodeProfile(body []byte) (Profile, error) {
	var p Profile
	if err := decodeStrict(body, &p); err != nil {
		return Profile{}, err
	}
	return p, nil
}

// DecodeStored decodes and validates a document that a process has accepted and
// stored. Unknown fields are ignored, so that during an upgrade an older process
// can adopt a document that a newer one wrote. All errors have the code
// InvalidCatalog.
func DecodeStored(body []byte) (*Catalog, error) {
	var c Catalog
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, resultcode.Wrap(resultcode.InvalidCatalog, err, "stored catalog is malformed")
	}
	if err := Validate(&c); err != nil {
		return nil, err
	}
	return &c, nil
}

// Encode returns the catalog as the JSON document that Decode reads.
func Encode(c *Catalog) ([]byte, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode catalog: %w", err)
	}
	return body, nil
}

func decodeStrict(body []byte, into any) error {
	if len(body) > MaxBytes {
		return resultcode.New(resultcode.InvalidCatalog, "document has %d bytes; allowed: at most %d", len(body), MaxBytes)
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return resultcode.Wrap(resultcode.InvalidCatalog, err, "malformed document")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return resultcode.New(resultcode.InvalidCatalog, "data after the document; allowed: one JSON document")
	}
	return nil
}
