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
	// plannedAnswerTokens is the mean length of an answer at the planned size: 2.5
	// million tokens and 5,500 requests per second.
	plannedAnswerTokens = 455

	endedCallers = 16
)

// endedCounts are the numbers of attempts that ended within the time for which
// an agent retains them.
var endedCounts = []int{50, 100, 200, 400}

// MeasureEnded measures the memory of a router and an agent against the number
// of attempts that ended recently, each with an answer of plannedAnswerTokens.
func MeasureEnded(log io.Writer) ([]*Series, error) {
	costs := []string{"live heap and stacks, bytes", "largest resident memory, bytes"}
	router := newSeriesGroup(Data, "router", "requests ended lately", costs)
	agent := newSeriesGroup(Data, "agent", "requests ended lately", costs)
	fmt.Fprintln(log, "ended requests")
	// The repetitions run concurrently, each with its own proxy chain.
	var group errgroup.Group
	for range repetitions {
		group.Go(func() error { return measureEnded(router, agent) })
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return append(router.finish(), agent.finish()...), nil
}

func measureEnded(router, agent *seriesGroup) error {
	c, err := startProxyChain(time.Millisecond)
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
					if err := c.call(context.Background(), int(id), plannedAnswerTokens); err != nil {
						return err
					}
				}
			})
		}
		if err := callers.Wait(); err != nil {
			return err
		}
		for group, process := range map[*seriesGroup]*Process{router: c.router, agent: c.agent} {
			now, err := process.Sample()
			if err != nil {
				return err
			}
			group.add(float64(n), float64(now.Usage.Heap), float64(now.Usage.MaxRSS))
		}
	}
	return nil
}
