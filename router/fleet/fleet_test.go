package fleet

import "testing"

// Guards against a stream that goes on at another version of its model because the version
// that an endpoint serves was taken for unknown, or for one of several.
func TestServedModel(t *testing.T) {
	for _, c := range []struct {
		models       []string
		wanted, want string
	}{
		{[]string{"m:1", "n:4"}, "m", "m:1"},
		{[]string{"m:1", "m:2"}, "m", ""},
		{[]string{"m:1", "m:2"}, "m:2", "m:2"},
		{[]string{"m"}, "m", ""},
		{nil, "m", ""},
	} {
		if got := servedModel(c.models, c.wanted); got != c.want {
			t.Errorf("%v, request for %s: %q, want %q", c.models, c.wanted, got, c.want)
		}
	}
}
