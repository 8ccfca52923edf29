package ingress

import (
	"bytes"
	"encoding/json"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"github.com/pistachiowind/pistachiowind/rpc"
)

// Guards against a body that crashes the router, and against one that is
// accepted although the agent cannot read or send it.
func FuzzDecodeChat(f *testing.F) {
	for _, seed := range []string{
		`{"model":"chat","messages":[{"role":"user","content":"ț 🪨"}],"stream":true,"stream_options":{"include_usage":true},"n":1}`,
		`{"model":"chat","messages":[{}],"n":2}`, `{"model":"chat","messages":[]}`, `{"model":1}`, `{"MODEL":"a","messages":[1]}`,
		`{"model":"\ud800","messages":[null]}`, "{\"model\":\"\xff\"}", `[`, `null`, "", `{"model":"a","messages":[0],"n":1e999}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		p, err := decodeChat(body)
		if err != nil {
			if p != nil || err.EffectiveExecution() != "not_run" {
				t.Fatalf("refused with %v and parameters %v", err, p)
			}
			return
		}
		fields := map[string]json.RawMessage{}
		if json.Unmarshal(body, &fields) != nil {
			t.Fatalf("accepted a body that is not an object: %q", body)
		}
		if p.Model == "" || len(p.Messages) == 0 || p.N != nil && *p.N != 1 {
			t.Fatalf("accepted %+v", p)
		}
		if _, err := proto.Marshal(&rpc.ChatWork{Model: p.Model, Body: body}); err != nil {
			t.Fatalf("cannot be sent: %v", err)
		}
	})
}

// headerName matches a header name, which is a token of RFC 9110.
var headerName = regexp.MustCompile("^[-!#$%&'*+.^_`|~0-9A-Za-z]+$")

// Guards against headers that crash the router, are accepted twice although they
// must occur once, or reach an agent or endpoint although only the router may
// set them.
func FuzzHeaders(f *testing.F) {
	f.Add("Authorization", "Bearer key", "Authorization", "Bearer other")
	f.Add("Idempotency-Key", "k\xff", "X-Pistachiowind-Profile", "chat")
	f.Add("x-pistachiowind-profile", "a", "X-Pistachiowind-Profile", "a")
	f.Add("X-Fencing-Number", "9", "X-Pistachiowind-Order", "1")
	f.Add("Accept", "\xfe", "X-T", "v")
	f.Fuzz(func(t *testing.T, name1, value1, name2, value2 string) {
		// Go's server refuses other names before a handler sees them.
		if !headerName.MatchString(name1) || !headerName.MatchString(name2) {
			return
		}
		h := http.Header{}
		h.Add(name1, value1)
		h.Add(name2, value2)
		err := checkHeaders(h)
		for _, name := range singleHeaders {
			if err == nil && (len(h.Values(name)) > 1 || !utf8.ValidString(h.Get(name))) {
				t.Fatalf("accepted %q", h)
			}
		}
		_ = bearerToken(h)
		if err == nil {
			checkForwarded(t, h)
		}
	})
}

func checkForwarded(t *testing.T, h http.Header) {
	for _, header := range forwardedHeaders(h) {
		name := strings.ToLower(header.GetName())
		if strings.HasPrefix(name, "x-pistachiowind-") || name == "x-fencing-number" || name == "authorization" {
			t.Fatalf("forwarded %q", header)
		}
	}
	if _, err := proto.Marshal(&rpc.ServiceWork{Headers: forwardedHeaders(h)}); err != nil {
		t.Fatalf("cannot be sent: %v", err)
	}
}

// Guards against a path that reaches another service or host than the one that
// was checked, and against two different calls with the same digest.
func FuzzServicePath(f *testing.F) {
	for _, seed := range []string{
		"/services/ledger/charges", "/services/ledger", "/services/ledger/", "/services/ledger//evil/x",
		"/services/ledger/a%2fb", "/services/ledger/../x", "/services/led%67er/@host/", "/services//x", "", "x",
	} {
		f.Add(seed, []byte("xbody"))
	}
	f.Fuzz(func(t *testing.T, escaped string, body []byte) {
		path := servicePath(escaped)
		if !strings.HasPrefix(path, "/") || !strings.HasSuffix(escaped, strings.TrimPrefix(path, "/")) {
			t.Fatalf("path %q of %q", path, escaped)
		}
		a := &rpc.ServiceWork{Path: path, Body: body}
		b := &rpc.ServiceWork{Path: path + "x", Body: bytes.TrimPrefix(body, []byte("x"))}
		if bytes.Equal(serviceDigest(a), serviceDigest(b)) {
			t.Fatalf("calls %v and %v have one digest", a, b)
		}
	})
}
