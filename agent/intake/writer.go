package intake

import (
	"net/http"
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// streamWriter writes frames to one router connection. A frame is flushed unless
// the next one is already available, so that no token waits for a later one.
type streamWriter struct {
	streams *Streams
	w       http.ResponseWriter
	rc      *http.ResponseController
}

func newStreamWriter(w http.ResponseWriter, s *Streams) *streamWriter {
	w.Header().Set("Content-Type", "application/vnd.pistachiowind.frames")
	return &streamWriter{streams: s, w: w, rc: http.NewResponseController(w)}
}

// write sends a frame; more means that another frame follows at once.
func (o *streamWriter) write(f *rpc.Frame, more bool) error {
	if err := o.rc.SetWriteDeadline(time.Now().Add(frameWriteTimeout)); err != nil {
		return err
	}
	if err := rpc.WriteMessage(o.w, f); err != nil || more {
		return err
	}
	return o.rc.Flush()
}

// refuse ends the stream with a refusal. A write error is ignored: the router
// treats a stream without a final frame as broken.
func (o *streamWriter) refuse(err *resultcode.Error) {
	_ = o.write(o.refusedFrame(err), false)
}

func (o *streamWriter) refusedFrame(err *resultcode.Error) *rpc.Frame {
	s := o.streams
	refused := RefusedMessage(err)
	refused.Agent = s.incarnation
	refused.Load = s.worker.Load(time.Now())
	return &rpc.Frame{CatalogVersion: s.worker.CatalogVersion(), Kind: &rpc.Frame_Refused{Refused: refused}}
}

// RefusedMessage converts an error to its protobuf message.
func RefusedMessage(err *resultcode.Error) *rpc.Refused {
	return &rpc.Refused{
		Code:         uint32(err.Code),
		Message:      err.Detail(),
		Execution:    rpc.ExecutionOf(err.EffectiveExecution()),
		RetryAfterMs: uint32(err.RetryAfter.Milliseconds()),
	}
}
