package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiowind/pistachiowind/rpc"
)

// maxPrefixBytes is the length of the start of the request body whose digest selects
// an endpoint that is likely to have the prefix cached.
const maxPrefixBytes = 512

func (f *inFlightRequest) query() Query {
	q := Query{
		Tier:          f.req.Profile.Tier,
		Excluded:      f.triedEndpoints,
		NonIdempotent: !f.req.Profile.Idempotent,
	}
	if f.req.Chat != nil {
		q.Model = f.req.Chat.GetModel()
		if len(f.text) > 0 {
			q.Model = f.textModel
		}
		q.Prefix = prefixDigest(f.req.Chat.GetBody())
		return q
	}
	q.Service = f.req.Service.GetService()
	return q
}

func prefixDigest(body []byte) uint64 {
	return xxhash.Sum64(body[:min(len(body), maxPrefixBytes)])
}

// runRequest builds the Run message of an attempt whose first chunk has the index from.
func (f *inFlightRequest) runRequest(att *attempt, from uint32) *rpc.RunRequest {
	now := time.Now()
	p := f.req.Profile
	left := max(f.deadline.Sub(now), 0)
	m := &rpc.RunRequest{
		Attempt:          &rpc.AttemptID{Router: f.opts.Router, Ticket: att.ticket},
		Agent:            att.target.Incarnation,
		CatalogVersion:   f.req.CatalogVersion,
		RequestId:        f.req.ID,
		ClientAccount:    f.req.Account.Name,
		Profile:          p.Name,
		Class:            p.ClassName(),
		Tier:             uint32(p.Tier),
		Weight:           uint32(f.req.Account.EffectiveWeight()),
		TimeLeftMs:       uint32(left.Milliseconds()),
		WaitLimitMs:      uint32(f.remainingWait(now).Milliseconds()),
		FirstTokenLeftMs: f.remainingFirstTokenMs(now),
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
		TokensSoFar: f.textTokens,
		TextModel:   f.textModel,
	}}
	return m
}

// remainingFirstTokenMs is the time left to the first-token target in milliseconds, at
// least 1. It is 0 without a target and for a continued stream.
func (f *inFlightRequest) remainingFirstTokenMs(now time.Time) uint32 {
	target := f.req.Profile.Target.FirstTokenMS
	if target == 0 || len(f.text) > 0 {
		return 0
	}
	left := f.req.Received.Add(time.Duration(target) * time.Millisecond).Sub(now)
	return uint32(max(left.Milliseconds(), 1))
}

// remainingWait is how long the next attempt may wait in a queue. A stream of which
// the caller has already received text may wait until the deadline, because refusing
// it would waste the tokens generated so far.
func (f *inFlightRequest) remainingWait(now time.Time) time.Duration {
	if len(f.text) > 0 {
		return max(f.deadline.Sub(now), 0)
	}
	return max(f.req.Received.Add(f.req.Profile.MaxWait()).Sub(now), 0)
}
