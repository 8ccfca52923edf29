package capacity

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// Usage is what this process has used up to one moment.
type Usage struct {
	// At and CPU were read first; a window ends with them.
	At  time.Time     `json:"at"`
	CPU time.Duration `json:"cpu"`
	// Heap is the live heap and the stacks after a collection, in bytes.
	Heap       uint64 `json:"heap"`
	Goroutines int    `json:"goroutines"`
	// MaxRSS is the largest resident memory so far, in bytes.
	MaxRSS int64 `json:"max_rss"`
	// ResumeAt and ResumeCPU were read after the collection; a window begins
	// with them, so that its cost is not part of the window.
	ResumeAt  time.Time     `json:"resume_at"`
	ResumeCPU time.Duration `json:"resume_cpu"`
}

// ReadUsage collects garbage and returns the usage of this process.
func ReadUsage() Usage {
	u := Usage{At: time.Now(), Goroutines: runtime.NumGoroutine()}
	u.CPU = processTime()
	u.MaxRSS = largestResident()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	u.Heap = m.HeapAlloc + m.StackInuse
	u.ResumeCPU = processTime()
	u.ResumeAt = time.Now()
	return u
}

func processTime() time.Duration {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// largestResident reads VmHWM. The maximum that getrusage reports includes the
// program that started this one.
func largestResident() int64 {
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

// Cores returns the processor time per second between two readings.
func Cores(from, to Usage) float64 {
	wall := to.At.Sub(from.ResumeAt)
	if wall <= 0 {
		return 0
	}
	return float64(to.CPU-from.ResumeCPU) / float64(wall)
}
