package ingress

import (
	"net/http"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/pistachiowind/pistachiowind/resultcode"
)

// singleHeaders are the headers that must occur at most once: with two values it
// would be unclear which one the caller meant.
var singleHeaders = []string{"Authorization", ProfileHeader, KeyHeader, "Content-Type"}

func checkHeaders(h http.Header) *resultcode.Error {
	for _, name := range singleHeaders {
		values := h.Values(name)
		if len(values) > 1 {
			return resultcode.New(resultcode.DuplicateHeader, "header %s occurs %d times", name, len(values))
		}
	}
	for name, values := range h {
		if slices.ContainsFunc(values, func(v string) bool { return !utf8.ValidString(v) }) {
			return resultcode.New(resultcode.InvalidUTF8, "header %s is not valid UTF-8", name)
		}
	}
	return nil
}

func bearerToken(h http.Header) string {
	scheme, key, ok := strings.Cut(h.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}
