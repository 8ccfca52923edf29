package claim

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pistachiowind/pistachiowind/rpc"
)

// ClaimStatus answers another agent's call about a nonce. If the call names another
// incarnation than this one, the state in the answer is unknown.
func (l *Ledger) ClaimStatus(_ context.Context, r *rpc.ClaimStatusRequest) (*rpc.ClaimStatusResponse, error) {
	if r.GetAgent() != l.opts.Agent {
		return &rpc.ClaimStatusResponse{State: rpc.ClaimState_CLAIM_STATE_UNKNOWN}, nil
	}
	status, outcome := l.Status(r.GetNonce())
	resp := &rpc.ClaimStatusResponse{State: rpcStates[status]}
	if status != StatusDone || outcome == nil {
		return resp, nil
	}
	body, err := json.Marshal(outcome)
	if err != nil {
		return nil, fmt.Errorf("encode outcome: %w", err)
	}
	resp.Outcome = body
	return resp, nil
}

var rpcStates = map[Status]rpc.ClaimState{
	StatusUnknown:  rpc.ClaimState_CLAIM_STATE_UNKNOWN,
	StatusRunning:  rpc.ClaimState_CLAIM_STATE_RUNNING,
	StatusNeverRun: rpc.ClaimState_CLAIM_STATE_NEVER_RUN,
	StatusDone:     rpc.ClaimState_CLAIM_STATE_DONE,
}

// ParseStatus decodes a response of ClaimStatus. A state that this version does not
// know counts as StatusUnknown.
func ParseStatus(r *rpc.ClaimStatusResponse) (Status, *Outcome, error) {
	for status, wire := range rpcStates {
		if wire != r.GetState() {
			continue
		}
		if len(r.GetOutcome()) == 0 {
			return status, nil, nil
		}
		var o Outcome
		if err := json.Unmarshal(r.GetOutcome(), &o); err != nil {
			return StatusUnknown, nil, fmt.Errorf("decode outcome: %w", err)
		}
		return status, &o, nil
	}
	return StatusUnknown, nil, nil
}
