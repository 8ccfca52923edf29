package dispatch

import (
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/router/recovery"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// stated records the model that an attempt's agent states. A second statement that names another
// model leaves the text with the first one.
func (f *inFlightRequest) stated(now time.Time, att *attempt, s *rpc.Stated) {
	f.opts.Fleet.Stated(now, att.target, s.GetModel())
	switch {
	case att.model == "":
		att.model = s.GetModel()
	case att.model != s.GetModel():
		att.changedModel = true
	}
}

// continuesText reports whether a chunk may follow the text so far: an attempt that goes on with
// the text of another one has to state its model, and no attempt may change its own.
func (f *inFlightRequest) continuesText(att *attempt, chunk *rpc.Chunk) bool {
	if len(f.text) == 0 || chunk.GetText() == "" {
		return true
	}
	return !att.changedModel && (att == f.textFrom || att.model == f.textModel)
}

// unproven reports whether the model that wrote the text is unknown once the chunk is forwarded.
func (f *inFlightRequest) unproven(att *attempt, chunk *rpc.Chunk) bool {
	if len(f.text) == 0 {
		return chunk.GetText() != "" && att.model == ""
	}
	return att == f.textFrom && att.model == "" || att != f.textFrom && f.textModel == ""
}

// otherModel gives up an attempt whose chunk does not continue the text.
func (f *inFlightRequest) otherModel(att *attempt) recovery.Action {
	f.abandon(att)
	f.lastNotRun = false
	return f.advance(recovery.Event{
		Kind: recovery.Refused, Attempt: att.ticket, Execution: resultcode.Unknown,
		Error: resultcode.New(resultcode.UnknownModel, "model %q wrote the text, the agent states %q", f.textModel, att.model),
	})
}
