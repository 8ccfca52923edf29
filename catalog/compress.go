package catalog

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"github.com/pistachiowind/pistachiowind/resultcode"
)

// gzipMagic is the prefix of a compressed document. A document without it is plain
// JSON.
var gzipMagic = []byte{0x1f, 0x8b}

// compress compresses a document for the table service. Every process reads each
// version, so one change transfers the document about a thousand times.
func compress(body []byte) ([]byte, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(body); err != nil {
		return nil, fmt.Errorf("compress catalog: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress catalog: %w", err)
	}
	return out.Bytes(), nil
}

// decompress returns the document stored in a row. Documents larger than MaxBytes
// are refused.
func decompress(value []byte) ([]byte, error) {
	if !bytes.HasPrefix(value, gzipMagic) {
		return value, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, resultcode.Wrap(resultcode.InvalidCatalog, err, "stored catalog is not readable")
	}
	body, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil {
		return nil, resultcode.Wrap(resultcode.InvalidCatalog, err, "stored catalog is damaged")
	}
	if len(body) > MaxBytes {
		return nil, resultcode.New(resultcode.InvalidCatalog, "stored catalog is larger than %d bytes", MaxBytes)
	}
	return body, nil
}
