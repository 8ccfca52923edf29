package crashes

import (
	"testing"
	"time"
)

// Measures the verdict on a request with five suspects, without any standing suspect and with
// as many as are kept, one of them condemned and held by the request.
func BenchmarkCheck(b *testing.B) {
	never := func(Suspect) bool { return false }
	held := []Suspect{request(1), part(1), part(2), part(3), part(0xdead)}
	b.Run("none standing", func(b *testing.B) {
		c := New()
		for range b.N {
			c.Check(start, held, 400, never)
		}
	})
	b.Run("all standing", func(b *testing.B) {
		c := New()
		for i := range maxStanding {
			for n := range 3 {
				c.Record(crash(uint64(3*i+n), time.Duration(n)*time.Second, part(uint64(100+i))))
			}
		}
		for n := range 3 {
			c.Record(crash(uint64(1_000_000+n), time.Duration(n)*time.Second, part(0xdead)))
		}
		b.ResetTimer()
		for range b.N {
			c.Check(start.Add(time.Minute), held, 400, never)
		}
	})
}
