package concurrency_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/agent/concurrency"
	"github.com/pistachiowind/pistachiowind/agent/queue"
	"github.com/pistachiowind/pistachiowind/agent/worker"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
)

var _ worker.Limiter = (*concurrency.Scheduler)(nil)

// Guards against a scheduler whose counts differ from those of the queue and the
// endpoint: work started over the limit, a preemption while a slot is free, an
// urgent request refused although a stream can be preempted for it.
func TestSchedulerFollowsTheWork(t *testing.T) {
	s := concurrency.NewScheduler(concurrency.SchedulerOptions{})
	q := queue.New(queue.Options{})
	batch := &rpc.RunRequest{Tier: 2, Class: "history", WaitLimitMs: 60_000}
	var running []queue.Running
	for i := range 20 {
		it := queue.Item{ID: fmt.Sprint(i), Tier: 2, Class: "history", Account: fmt.Sprint(i)}
		if _, err := q.Push(start, it); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Admit(start, batch, q, running); err != nil {
		t.Errorf("refused at an idle endpoint: %v", err)
	}
	for {
		if _, ok := s.Preempt(start, q, running); ok {
			t.Fatal("preempted while a slot is free")
		}
		it, ok := s.Next(start, q, running)
		if !ok {
			break
		}
		s.Started(start, batch)
		running = append(running, queue.Running{Item: it, Started: start})
	}
	// Limit 8: 7 without the headroom, and 1 on top for lower tiers.
	if len(running) != concurrency.DefaultInitial {
		t.Errorf("%d streams started", len(running))
	}
	now := start.Add(10 * time.Second)
	if err := s.Admit(now, batch, q, running); err == nil {
		t.Error("batch work admitted after 10 s without a start")
	}
	urgent := &rpc.RunRequest{WaitLimitMs: 1}
	for i := range 2 {
		if err := s.Admit(now, urgent, q, running); err != nil {
			t.Errorf("urgent request refused: %v", err)
		}
		it := queue.Item{ID: fmt.Sprint("urgent", i), Account: "a", WaitUntil: now.Add(time.Minute)}
		if _, err := q.Push(now, it); err != nil {
			t.Fatal(err)
		}
	}
	it, ok := s.Next(now, q, running)
	if !ok || it.Tier != 0 {
		t.Fatalf("headroom gave %v, %v", it, ok)
	}
	s.Started(now, urgent)
	running = append(running, queue.Running{Item: it, Started: now})
	if err := s.Admit(now, urgent, q, running); err != nil {
		t.Errorf("urgent request refused with preemptible streams running: %v", err)
	}
	now = now.Add(time.Second)
	if _, ok := s.Preempt(now, q, running); !ok {
		t.Error("no preemption for urgent work")
	}
	if _, ok := s.Preempt(now, q, running[:7]); ok {
		t.Error("preempted while a slot is free for urgent work")
	}
}

// Guards against treating a crash or an overload as an ordinary end, and against a
// load message without the learned limit and the latencies.
func TestSchedulerOutcomes(t *testing.T) {
	cases := map[resultcode.Code]uint32{resultcode.CallerCancelled: 10, resultcode.EndpointOverloaded: 9, resultcode.EndpointFailed: 8}
	for code, want := range cases {
		s := concurrency.NewScheduler(concurrency.SchedulerOptions{})
		req := &rpc.RunRequest{}
		for range concurrency.DefaultInitial {
			s.Started(start, req)
		}
		now := start.Add(time.Second)
		for range 50 {
			s.Token(now, 20*time.Millisecond)
		}
		s.FirstToken(now, req, 10*time.Millisecond)
		s.Ended(now, req, time.Second, resultcode.New(code, "ended"))
		var load rpc.Load
		s.Describe(now, &load)
		if load.GetLimit() != want || load.GetFirstTokenMs() != 10 || load.GetInterTokenUs() != 20_000 {
			t.Errorf("%s: load %v, want the limit %d", code, &load, want)
		}
	}
}

// Guards against refusing an urgent request because streams of lower tiers occupy
// the endpoint: they were started one at a time, run for long, and nothing has
// started since, so that the expected delay is long.
func TestUrgentIsAdmittedBesideLowerTiers(t *testing.T) {
	s := concurrency.NewScheduler(concurrency.SchedulerOptions{})
	q := queue.New(queue.Options{})
	batch := &rpc.RunRequest{Tier: 2, Class: "history", WaitLimitMs: 60_000}
	var running []queue.Running
	for i := range concurrency.DefaultInitial {
		it := queue.Item{ID: fmt.Sprint(i), Tier: 2, Class: "history", Account: "a", WaitUntil: start.Add(time.Hour)}
		if _, err := q.Push(start, it); err != nil {
			t.Fatal(err)
		}
		if it, ok := s.Next(start, q, running); ok {
			s.Started(start, batch)
			running = append(running, queue.Running{Item: it, Started: start})
		}
	}
	now := start.Add(time.Minute)
	s.Ended(now, batch, time.Minute, nil)
	s.Started(now, batch)
	urgent := &rpc.RunRequest{WaitLimitMs: 1500, FirstTokenLeftMs: 1500}
	// One urgent stream takes the headroom.
	s.Started(now, urgent)
	running = append(running, queue.Running{Item: queue.Item{ID: "urgent"}, Started: now})
	preemptible := queue.Preemptible(now, 1, running)
	for i := range preemptible {
		if err := s.Admit(now, urgent, q, running); err != nil {
			t.Fatalf("urgent request %d of %d refused: %v", i+1, preemptible, err)
		}
		it := queue.Item{ID: fmt.Sprint("urgent", i), Account: "a", WaitUntil: now.Add(time.Minute)}
		if _, err := q.Push(now, it); err != nil {
			t.Fatal(err)
		}
	}
	for i := range running {
		running[i].Preemptions = queue.MaxPreemptions
	}
	if err := s.Admit(now, urgent, queue.New(queue.Options{}), running); err != nil {
		t.Errorf("first urgent request refused for streams that cannot be preempted: %v", err)
	}
}

// Guards against work that is started, or for which other work is stopped, at an endpoint
// that has asked for no requests for a while, and against a pause that never ends.
func TestEndpointThatAskedForAPauseGetsNoWork(t *testing.T) {
	s := concurrency.NewScheduler(concurrency.SchedulerOptions{})
	q := queue.New(queue.Options{})
	urgent := &rpc.RunRequest{WaitLimitMs: 500}
	s.Started(start, urgent)
	s.Ended(start, urgent, 0, resultcode.New(resultcode.EndpointOverloaded, "full").WithRetryAfter(2*time.Second))
	if err := s.Admit(start, urgent, q, nil); err == nil {
		t.Error("a request that cannot wait for the end of the pause was admitted")
	}
	if err := s.Admit(start, &rpc.RunRequest{WaitLimitMs: 60_000}, q, nil); err != nil {
		t.Errorf("a request that can wait was refused: %v", err)
	}
	if _, err := q.Push(start, queue.Item{ID: "u", Account: "a", WaitUntil: start.Add(time.Minute)}); err != nil {
		t.Fatal(err)
	}
	if _, ok := s.Next(start.Add(1999*time.Millisecond), q, nil); ok {
		t.Error("work was started during the pause")
	}
	if _, ok := s.Next(start.Add(2*time.Second), q, nil); !ok {
		t.Error("no work was started after the pause")
	}
}

// Guards against a pause of up to a minute that outlives the process which asked for it, and
// against one of the next process that is dropped.
func TestPauseEndsAsTheEndpointGoesDown(t *testing.T) {
	s := concurrency.NewScheduler(concurrency.SchedulerOptions{})
	request := &rpc.RunRequest{WaitLimitMs: 500}
	full := resultcode.New(resultcode.EndpointOverloaded, "full").WithRetryAfter(time.Minute)
	refuse := func() {
		s.Started(start, request)
		s.Ended(start, request, 0, full)
	}
	refuse()
	s.EndpointDown()
	if err := s.Admit(start, request, queue.New(queue.Options{}), nil); err != nil {
		t.Errorf("the next process gets no work: %v", err)
	}
	refuse()
	if err := s.Admit(start, request, queue.New(queue.Options{}), nil); err == nil {
		t.Error("the pause of the next process is not kept")
	}
}
