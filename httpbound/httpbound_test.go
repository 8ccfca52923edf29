package httpbound

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// Guards against a peer that sends an endless response body and so exhausts the
// memory of a client that reads the complete body.
func TestEndlessBodyIsCut(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil {
			if _, err := w.Write(make([]byte, 4<<10)); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	client := http.Client{Transport: Transport{RoundTripper: http.DefaultTransport, Limit: 10_000}}
	resp, err := client.Get(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	var tooLarge *http.MaxBytesError
	if !errors.As(err, &tooLarge) || len(body) != 10_000 {
		t.Fatalf("%d bytes and %v, want 10000 and a MaxBytesError", len(body), err)
	}
}
