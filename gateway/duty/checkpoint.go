package duty

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiowind/pistachiowind/storage"
)

// checkpointStep returns the write of the ledger's changed rows, if that is due.
func (r *Reporter) checkpointStep(m Moment) Step {
	revision := r.options.Ledger.Revision()
	if revision == r.checkpointed || m.Now.Sub(r.checkpointAt) < checkpointInterval {
		return Step{}
	}
	r.checkpointAt = m.Now
	values, err := r.options.Ledger.Encode()
	if err != nil {
		r.options.OnEvent(Event{Kind: EventRowsFailed, Err: err})
		return Step{}
	}
	if len(values) > maxCountRows {
		if !r.tooLarge {
			r.options.OnEvent(Event{Kind: EventTooLarge})
		}
		r.tooLarge = true
		values = values[:maxCountRows]
	}
	s := Step{Kind: StepWrite, checkpoint: true, ledgerAt: revision}
	for i, v := range values {
		if r.countRevisions[i] == "" || r.countHashes[i] != xxhash.Sum64(v) {
			s.Rows = append(s.Rows, storage.Row{Key: countsKey(i), Value: v, Revision: r.countRevisions[i]})
		}
	}
	// A holder that finds the row may record windows from before the restore. It must not find
	// it before the records that the restored store lost.
	if !slices.ContainsFunc(r.slots[:], func(v slot) bool { return v.confirmed && !v.stored }) {
		r.addEra(&s)
	}
	if len(s.Rows) == 0 {
		r.checkpointed = revision
		return Step{}
	}
	return s
}
