package upstream

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// defaultIdentifyTimeout bounds the question for an endpoint's process. It is as long as that
	// for a connection: in that time another endpoint can be tried.
	defaultIdentifyTimeout = 400 * time.Millisecond
	// maxIdentifyBytes bounds the answer. A report of an engine takes some hundred bytes.
	maxIdentifyBytes = 64 << 10
)

var (
	// ErrOtherProcess is the cause of a *Failure if the request may not be sent to the process
	// behind the address.
	ErrOtherProcess = errors.New("the process at the endpoint's address is not the expected one")
	// ErrOtherEndpoint is the cause of a *Failure if another endpoint has the address.
	ErrOtherEndpoint = errors.New("another endpoint responds at the address")
	// ErrStatementRefused is the cause of a *Failure if the endpoint refuses to state its
	// process now.
	ErrStatementRefused = errors.New("the endpoint refused to state its process")
	// ErrUnproven is the cause of a *Failure if nothing shows which process is behind the
	// address.
	ErrUnproven = errors.New("the process at the endpoint's address is not proven")
)

// ProcessState is what is known of the process behind a connection.
type ProcessState int

const (
	// ProcessNotAsked means that the endpoint was not asked on this connection.
	ProcessNotAsked ProcessState = iota
	// ProcessStated means that the endpoint stated the start of its process.
	ProcessStated
	// ProcessSilent means that the endpoint answers and does not state it.
	ProcessSilent
	// ProcessNoAnswer means that there was no usable answer.
	ProcessNoAnswer
	// ProcessRefused means that the endpoint refused the question, as one that is full does.
	ProcessRefused
	// ProcessOfOther means that another endpoint has the address.
	ProcessOfOther
	// ProcessProven means that evidence other than a statement shows the process.
	ProcessProven
)

// String returns the outcome of the question as metrics name it.
func (s ProcessState) String() string {
	return [...]string{"not_asked", "stated", "silent", "no_answer", "refused", "other_endpoint", "proven"}[s]
}

// Process is the process behind a connection, as the endpoint states it. A connection leads to
// the same process from its beginning to its end.
type Process struct {
	State ProcessState
	// Born is the start of the process in Unix milliseconds; valid if it is stated.
	Born int64
	// Asked is set if the endpoint was asked for this request, and not for an earlier one.
	Asked bool
}

// Identification lets a request be sent only on a connection to an accepted process.
type Identification struct {
	// Target and Header are those of the GET request that asks for the process.
	Target string
	Header http.Header
	// Timeout bounds each question; zero means 400 ms.
	Timeout time.Duration
	// Expected returns the process to which other connections may prove that one leads; the
	// zero value if there is no such evidence. It is called again after a question without a
	// usable answer. Nil means that there is none.
	Expected func() Identity
	// Ask allows questions. Without it the request needs the evidence of other connections.
	Ask bool
	// Decode returns what an answer states. The body of a stream of events is not read.
	Decode func(status int, h http.Header, body []byte) Process
	// Accept reports whether the request may be sent to the process.
	Accept func(Process) bool
}

// identified returns a connection to a process that the request accepts: c, which is kept or
// new, or another one. It closes c or keeps it for others if it does not return it.
func (p *Pool) identified(ctx context.Context, c *conn, q *Identification) (*conn, error) {
	if c.process.State == ProcessStated {
		if q.Accept(c.process) {
			return c, nil
		}
		// The directory has shown another process since.
		return p.reopened(ctx, c, q)
	}
	if p.acceptProven(c, q) {
		return c, nil
	}
	return p.asked(ctx, c, q)
}

// acceptProven reports whether other evidence than a statement shows that the connection leads
// to a process that the request accepts.
func (p *Pool) acceptProven(c *conn, q *Identification) bool {
	expected := q.expected()
	return p.proves(c, expected) && q.Accept(Process{State: ProcessProven, Born: expected.Born})
}

func (q *Identification) expected() Identity {
	if q.Expected == nil {
		return Identity{}
	}
	return q.Expected()
}

// asked returns a connection to a process that the endpoint states and the request accepts.
func (p *Pool) asked(ctx context.Context, c *conn, q *Identification) (*conn, error) {
	if !q.Ask {
		if q.Accept(Process{State: ProcessNotAsked}) {
			return c, nil
		}
		p.release(c, true)
		return nil, ErrUnproven
	}
	kept := c.hadRequest
	usable := c.ask(ctx, q)
	if kept && c.process.State == ProcessNoAnswer && ctx.Err() == nil {
		// The endpoint may have closed it as idle.
		return p.reopened(ctx, c, q)
	}
	return p.accepted(ctx, c, usable, q)
}

// reopened closes c and returns an accepted new connection in its place.
func (p *Pool) reopened(ctx context.Context, c *conn, q *Identification) (*conn, error) {
	c.Close()
	c, err := p.open(ctx, c.address)
	if err != nil {
		return nil, err
	}
	if p.acceptProven(c, q) {
		return c, nil
	}
	if !q.Ask {
		return p.asked(ctx, c, q)
	}
	return p.accepted(ctx, c, c.ask(ctx, q), q)
}

// accepted returns a connection on which a request may follow the question that was sent on c.
func (p *Pool) accepted(ctx context.Context, c *conn, usable bool, q *Identification) (*conn, error) {
	// What the end of the request did to the question says nothing about the endpoint.
	if err := ctx.Err(); err != nil {
		c.Close()
		return nil, err
	}
	asked := c.process
	asked.Asked = true
	switch accepted := q.Accept(asked); {
	case !accepted && asked.unproven():
		return p.provenOtherwise(ctx, c, usable, q)
	case !accepted:
		p.release(c, usable)
		return nil, asked.rejection()
	case usable:
		return c, nil
	}
	c.Close()
	return p.confirmed(ctx, c.address, q)
}

// unproven reports whether the answer says nothing about the process.
func (p Process) unproven() bool { return p.State == ProcessSilent || p.State == ProcessNoAnswer }

// provenOtherwise returns a connection whose process other connections prove, after a question
// on c without a usable answer.
func (p *Pool) provenOtherwise(ctx context.Context, c *conn, usable bool, q *Identification) (*conn, error) {
	p.release(c, usable)
	if q.expected() == (Identity{}) {
		return nil, ErrUnproven
	}
	c, err := p.open(ctx, c.address)
	if err != nil {
		return nil, err
	}
	if p.acceptProven(c, q) {
		return c, nil
	}
	p.release(c, true)
	return nil, ErrUnproven
}

// confirmed returns a connection on which nothing was asked, for an endpoint that closes after
// its statement. What is stated on a connection that was opened later holds for it: had another
// process accepted it, that one would have ended, and the connection with it.
func (p *Pool) confirmed(ctx context.Context, address string, q *Identification) (*conn, error) {
	c, err := p.open(ctx, address)
	if err != nil {
		return nil, err
	}
	witness, err := p.open(ctx, address)
	if err != nil {
		c.Close()
		return nil, err
	}
	witness.ask(ctx, q)
	witness.Close()
	c.process = witness.process
	return p.accepted(ctx, c, c.process.State == ProcessStated, q)
}

// rejection returns why a request is not sent to the process.
func (p Process) rejection() error {
	switch p.State {
	case ProcessStated:
		return ErrOtherProcess
	case ProcessOfOther:
		return ErrOtherEndpoint
	case ProcessRefused:
		return ErrStatementRefused
	}
	return ErrUnproven
}

// release puts a connection without a request into the pool, or closes it.
func (p *Pool) release(c *conn, usable bool) {
	if !usable {
		c.Close()
		return
	}
	p.put(c, nil)
}

// ask asks the endpoint for the process behind the connection and reports whether the
// connection can be used for a request after that.
func (c *conn) ask(ctx context.Context, q *Identification) bool {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(q.Timeout, defaultIdentifyTimeout))
	defer cancel()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	c.hadRequest = true
	response, body, err := c.exchange(q)
	if err != nil {
		c.process = Process{State: ProcessNoAnswer}
		return false
	}
	c.process = q.Decode(response.StatusCode, response.Header, body)
	return stop() && !isStream(response.Header) && !response.Close && framingOf(response) != FramedByClose && c.reader.Buffered() == 0
}

// exchange sends the question and returns the answer with its body. An endpoint that takes the
// question for a request may answer with a stream, which is not read.
func (c *conn) exchange(q *Identification) (*http.Response, []byte, error) {
	head := encodeHead(&Request{Method: http.MethodGet, Target: q.Target, Host: c.address, Header: q.Header})
	if c.guard != nil {
		c.guard.BeforeWrite()
	}
	if _, err := c.Conn.Write(head); err != nil {
		return nil, nil, err
	}
	c.bounded.setLimit(maxHeadBytes)
	response, err := c.readResponse(&http.Request{Method: http.MethodGet})
	if err != nil {
		return nil, nil, err
	}
	c.bounded.clearLimit()
	if isStream(response.Header) {
		return response, nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxIdentifyBytes+1))
	if err == nil && len(body) > maxIdentifyBytes {
		err = fmt.Errorf("statement of the endpoint's process exceeds %d bytes", maxIdentifyBytes)
	}
	return response, body, err
}

func isStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}
