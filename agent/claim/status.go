package claim

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pistachiowind/pistachiowind/rpc"
)

// ClaimStatus answers another agent. A request that names another incarnation
// than this one is answered with unknown.
func (l *Ledger) ClaimStatus(_ context.Context, r *rpc.ClaimStatusRequest) (*rpc.ClaimStatusResponse, error) {
	if r.GetAgent() != l.o.Agent {
		return &rpc.ClaimStatusResponse{State: rpc.ClaimState_CLAIM_STATE_UNKNOWN}, nil
	}
	status, outcome := l.Status(r.GetNonce())
	resp := &rpc.ClaimStatusResponse{State: wireStates[status]}
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

var wireStates = map[Status]rpc.ClaimState{
	StatusUnknown:  rpc.ClaimState_CLAIM_STATE_UNKNOWN,
	StatusRunning:  rpc.ClaimState_CLAIM_STATE_RUNNING,
	StatusNeverRun: rpc.ClaimState_CLAIM_STATE_NEVER_RUN,
	StatusDone:     rpc.ClaimState_CLAIM_STATE_DONE,
}

// ParseStatus reads an answer of ClaimStatus. States that this version does not
// know count as unknown.
func ParseStatus(r *rpc.ClaimStatusResponse) (Status, *Outcome, error) {
	for status, wire := range wireStates {
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
