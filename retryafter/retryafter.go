// Package retryafter reads the Retry-After header of responses.
package retryafter

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Parse returns the Retry-After of a response, at most limit: seconds, with or without a
// fraction, or a date. A date is compared with the Date header of the same response,
// because the clocks of two machines differ. Parse returns zero for a value that cannot be
// read.
func Parse(h http.Header, limit time.Duration) time.Duration {
	value := h.Get("Retry-After")
	seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil {
		until, untilErr := http.ParseTime(value)
		from, fromErr := http.ParseTime(h.Get("Date"))
		if untilErr != nil || fromErr != nil {
			return 0
		}
		seconds = until.Sub(from).Seconds()
	}
	if !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, limit.Seconds()) * float64(time.Second))
}
