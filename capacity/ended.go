package capacity

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// plannedTokens is the mean length of an answer at the planned size: 2.5
	// million tokens and 5,500 requests per second.
	plannedTokens = 455

	endedCallers = 16
)

// endedCounts are the attempts that ended within the time for which an agent
// keeps them.
var endedCounts = []int{50, 100, 200, 400}

// Ended measures the memory of an agent and a router against attempts that
// ended lately, each with an answer of the planned length.
func Ended(log io.Writer) ([]*Series, error) {
	costs := []string{"live heap and stacks, bytes", "largest resident memory, bytes"}
	router := newSet(Data, "router", "requests ended lately", costs)
	agent := newSet(Data, "agent", "requests ended lately", costs)
	fmt.Fprintln(log, "ended requests")
	// The repetitions run at the same time, with chains of their own.
	var group errgroup.Group
	for range repetitions {
		group.Go(func() error { return ended(router, agent) })
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return append(router.finish(), agent.finish()...), nil
}

func ended(router, agent *set) error {
	c, err := startChain(time.Millisecond)
	if err != nil {
		return err
	}
	defer c.close()
	var sent atomic.Int64
	for _, n := range endedCounts {
		var callers errgroup.Group
		for range endedCallers {
			callers.Go(func() error {
				for {
					id := sent.Add(1)
					if id > int64(n) {
						sent.Add(-1)
						return nil
					}
					if err := c.call(context.Background(), int(id), plannedTokens); err != nil {
						return err
					}
				}
			})
		}
		if err := callers.Wait(); err != nil {
			return err
		}
		for costs, subject := range map[*set]*Subject{router: c.router, agent: c.agent} {
			now, err := subject.Sample()
			if err != nil {
				return err
			}
			costs.add(float64(n), float64(now.Usage.Heap), float64(now.Usage.MaxRSS))
		}
	}
	return nil
}
