package capacity

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// Usage is the resource use of a process at one time.
type Usage struct {
	// At and CPU were read before the garbage collection; a window ends with them.
	At  time.Time     `json:"at"`
	CPU time.Duration `json:"cpu"`
	// Heap is the live heap plus the stacks after a garbage collection, in bytes.
	Heap       uint64 `json:"heap"`
	Goroutines int    `json:"goroutines"`
	// MaxRSS is the peak resident set size so far, in bytes.
	MaxRSS int64 `json:"max_rss"`
	// GCDoneAt and GCDoneCPU were read after the garbage collection; a window
	// begins with them, so that the cost of the collection is not part of it.
	GCDoneAt  time.Time     `json:"resume_at"`
	GCDoneCPU time.Duration `json:"resume_cpu"`
}

// ReadUsage runs a garbage collection and returns the usage of this process.
func ReadUsage() Usage {
	u := Usage{At: time.Now(), Goroutines: runtime.NumGoroutine()}
	u.CPU = processCPUTime()
	u.MaxRSS = peakResidentBytes()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	u.Heap = m.HeapAlloc + m.StackInuse
	u.GCDoneCPU = processCPUTime()
	u.GCDoneAt = time.Now()
	return u
}

func processCPUTime() time.Duration {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// peakResidentBytes reads VmHWM, because the maximum that getrusage reports
// includes the program that started this one.
func peakResidentBytes() int64 {
	status, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	var kib int64
	if _, err := fmt.Sscan(rest, &kib); err != nil {
		return 0
	}
	return kib << 10
}

// CoresUsed returns the processor time per second of wall time between two
// readings.
func CoresUsed(from, to Usage) float64 {
	wall := to.At.Sub(from.GCDoneAt)
	if wall <= 0 {
		return 0
	}
	return float64(to.CPU-from.GCDoneCPU) / float64(wall)
}
