// Package intake is the agent's server for routers: attempt streams as framed
// messages over HTTP, and unary calls over twirp. It checks that a message is
// addressed to this incarnation (run of the agent process) and forwards it to the
// worker.
package intake

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pistachiowind/pistachiowind/agent/execution"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
)

const (
	// HeartbeatInterval is how long a stream may go without a frame before it
	// sends a heartbeat.
	HeartbeatInterval = time.Second

	// requestReadTimeout bounds the time to read one Run or Attach message.
	requestReadTimeout = 10 * time.Second

	// frameWriteTimeout bounds the write of one frame, in case the router does
	// not read. After a timeout the attempt keeps running and the router can
	// attach to it again.
	frameWriteTimeout = 5 * time.Second
)

// Worker runs attempts; worker.Worker implements it.
type Worker interface {
	// Submit queues an attempt or refuses it.
	Submit(now time.Time, req *rpc.RunRequest) (*execution.Attempt, *resultcode.Error)
	// NoteRefusal counts an attempt that was refused before Submit.
	NoteRefusal(req *rpc.RunRequest, err *resultcode.Error)
	// Find returns an attempt that was accepted before.
	Find(id execution.ID) (*execution.Attempt, bool)
	// Renounce gives an attempt up and returns what is known about its
	// execution; see rpc.Agent.
	Renounce(now time.Time, id execution.ID) resultcode.Execution
	// Load returns the current load.
	Load(now time.Time) *rpc.Load
	// CatalogVersion returns the catalog version in force.
	CatalogVersion() uint64
	// NoteRouter records the address of a router that has sent a request, so
	// that the catalog can be fetched from it.
	NoteRouter(address string)
	// CatalogVersionSeen records that a router has this catalog version.
	CatalogVersionSeen(version uint64, router string)
}

// Streams serves the HTTP routes rpc.RunPath and rpc.AttachPath.
type Streams struct {
	incarnation string
	worker      Worker
}

// NewStreams returns the stream handlers of one agent incarnation.
func NewStreams(incarnation string, worker Worker) *Streams {
	return &Streams{incarnation: incarnation, worker: worker}
}

// Register adds the routes to mux.
func (s *Streams) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+rpc.RunPath, s.run)
	mux.HandleFunc("POST "+rpc.AttachPath, s.attach)
}

func (s *Streams) run(w http.ResponseWriter, r *http.Request) {
	var req rpc.RunRequest
	out := newStreamWriter(w, s)
	if err := readRequest(w, r, &req); err != nil {
		out.refuse(resultcode.Wrap(resultcode.MalformedBody, err, "read the run message"))
		return
	}
	if err := s.checkRun(&req); err != nil {
		s.worker.NoteRefusal(&req, err)
		out.refuse(err)
		return
	}
	attempt, err := s.worker.Submit(time.Now(), &req)
	if err != nil {
		out.refuse(err)
		return
	}
	s.stream(r.Context(), out, attempt, req.GetChat().GetFirstIndex())
}

func (s *Streams) checkRun(req *rpc.RunRequest) *resultcode.Error {
	if err := s.checkIncarnation(req.GetAgent()); err != nil {
		return err
	}
	if req.GetAttempt().GetRouter() == "" || req.GetWork() == nil {
		return resultcode.New(resultcode.MalformedBody, "the run message lacks its attempt or work")
	}
	s.worker.NoteRouter(req.GetRouterAddress())
	inForce := s.worker.CatalogVersion()
	if req.GetCatalogVersion() < inForce {
		return resultcode.New(resultcode.StaleCatalog, "the router has version %d, in force is %d", req.GetCatalogVersion(), inForce)
	}
	if req.GetCatalogVersion() > inForce {
		s.worker.CatalogVersionSeen(req.GetCatalogVersion(), req.GetRouterAddress())
	}
	return nil
}

func (s *Streams) checkIncarnation(agent string) *resultcode.Error {
	if agent == s.incarnation {
		return nil
	}
	return resultcode.New(resultcode.WrongIncarnation, "this is incarnation %s, not %s", s.incarnation, agent)
}

func (s *Streams) attach(w http.ResponseWriter, r *http.Request) {
	var req rpc.AttachRequest
	out := newStreamWriter(w, s)
	if err := readRequest(w, r, &req); err != nil {
		out.refuse(resultcode.Wrap(resultcode.MalformedBody, err, "read the attach message").WithExecution(resultcode.Unknown))
		return
	}
	if err := s.checkIncarnation(req.GetAgent()); err != nil {
		out.refuse(err.WithExecution(resultcode.Unknown))
		return
	}
	id := AttemptID(req.GetAttempt())
	attempt, ok := s.worker.Find(id)
	if !ok {
		out.refuse(resultcode.New(resultcode.AttemptNotFound, "attempt %d of router %s is not known", id.Ticket, id.Router).
			WithExecution(resultcode.Unknown))
		return
	}
	s.stream(r.Context(), out, attempt, req.GetFromIndex())
}

// stream copies frames to the router until the attempt ends, the connection fails
// or a newer reader attaches. A running attempt continues also without a reader.
func (s *Streams) stream(ctx context.Context, out *streamWriter, a *execution.Attempt, from uint32) {
	reader, refusal := a.Attach(from)
	if refusal != nil {
		out.refuse(refusal)
		return
	}
	defer func() { reader.Close(time.Now()) }()
	for {
		f, err := reader.Next(ctx, HeartbeatInterval)
		if errors.Is(err, execution.ErrIdle) {
			f, err = s.heartbeat(), nil
		}
		if errors.Is(err, io.EOF) && a.Renounced() {
			f = out.refusedFrame(resultcode.New(resultcode.AttemptRenounced, "the attempt was renounced"))
			_ = out.write(f, false)
		}
		if err != nil {
			return
		}
		if out.write(f, reader.Ready()) != nil {
			return
		}
	}
}

func (s *Streams) heartbeat() *rpc.Frame {
	return &rpc.Frame{
		CatalogVersion: s.worker.CatalogVersion(),
		Kind:           &rpc.Frame_Heartbeat{Heartbeat: &rpc.Heartbeat{Load: s.worker.Load(time.Now())}},
	}
}

func readRequest(w http.ResponseWriter, r *http.Request, m proto.Message) error {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(requestReadTimeout))
	if err := rpc.NewReader(r.Body).Read(m); err != nil {
		return err
	}
	// net/http detects that a client has disconnected only after the body has
	// been read to its end.
	if _, err := io.CopyN(io.Discard, r.Body, 1); !errors.Is(err, io.EOF) {
		return errors.New("the body continues after the message")
	}
	return rc.SetReadDeadline(time.Time{})
}

// AttemptID converts the protobuf form of an attempt's identity.
func AttemptID(id *rpc.AttemptID) execution.ID {
	return execution.ID{Router: id.GetRouter(), Ticket: id.GetTicket()}
}
