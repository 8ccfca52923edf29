package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiowind/pistachiowind/rpc"
)

// prefixBytes is the part of the prompt whose digest selects an endpoint with a
// warm prefix cache.
const prefixBytes = 512

func (f *flight) query() Query {
	q := Query{
		Tier:          f.req.Profile.Tier,
		Excluded:      f.tried,
		NonIdempotent: !f.req.Profile.Idempotent,
	}
	if f.req.Chat != nil {
		q.Model = f.req.Chat.GetModel()
		q.Prefix = prefixDigest(f.req.Chat.GetBody())
		return q
	}
	q.Service = f.req.Service.GetService()
	return q
}

func prefixDigest(body []byte) uint64 {
	return xxhash.Sum64(body[:min(len(body), prefixBytes)])
}

// message builds the Run message of an attempt.
func (f *flight) message(c *call, from uint32) *rpc.RunRequest {
	now := time.Now()
	p := f.req.Profile
	left := max(f.deadline.Sub(now), 0)
	m := &rpc.RunRequest{
		Attempt:          &rpc.AttemptID{Router: f.opts.Router, Ticket: c.ticket},
		Agent:            c.target.Incarnation,
		CatalogVersion:   f.req.CatalogVersion,
		RequestId:        f.req.ID,
		ClientAccount:    f.req.Account.Name,
		Profile:          p.Name,
		Class:            p.ClassName(),
		Tier:             uint32(p.Tier),
		Weight:           uint32(f.req.Account.Share()),
		TimeLeftMs:       uint32(left.Milliseconds()),
		WaitLimitMs:      uint32(f.waitLeft(now).Milliseconds()),
		FirstTokenLeftMs: f.firstTokenLeft(now),
		Idempotent:       p.Idempotent,
		IdempotencyKey:   f.req.IdempotencyKey,
		BodyDigest:       f.req.BodyDigest,
		RouterAddress:    f.opts.RouterAddress,
		Evidence:         f.opts.Quarantine.Evidence(now, f.req.BodyDigest),
	}
	if f.req.Service != nil {
		m.Work = &rpc.RunRequest_Service{Service: f.req.Service}
		return m
	}
	m.Work = &rpc.RunRequest_Chat{Chat: &rpc.ChatWork{
		Model:       f.req.Chat.GetModel(),
		Body:        f.req.Chat.GetBody(),
		FirstIndex:  from,
		TextSoFar:   string(f.text),
		TokensSoFar: f.tokens,
	}}
	return m
}

// firstTokenLeft is what is left of the target for the first token, at least 1,
// or 0 without a target.
func (f *flight) firstTokenLeft(now time.Time) uint32 {
	target := f.req.Profile.Target.FirstTokenMS
	if target == 0 || len(f.text) > 0 {
		return 0
	}
	left := f.req.Received.Add(time.Duration(target) * time.Millisecond).Sub(now)
	return uint32(max(left.Milliseconds(), 1))
}

// waitLeft is how long the next attempt may wait. A stream that has begun to
// reach the caller may wait until the deadline, because refusing it would waste
// what was generated.
func (f *flight) waitLeft(now time.Time) time.Duration {
	if len(f.text) > 0 {
		return max(f.deadline.Sub(now), 0)
	}
	return max(f.req.Received.Add(f.req.Profile.MaxWait()).Sub(now), 0)
}
