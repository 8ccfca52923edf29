package upstream

import (
	"context"
	"net"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxWitnesses bounds the connections to one address that prove the process behind others.
	// A few are enough: a further one is needed only if all of them end.
	maxWitnesses = 8
	// maxHeld is the number of held connections to one address: one and its replacement.
	maxHeld = 2
	// tcpEstablished is the kernel's state of a TCP connection that neither side has ended.
	tcpEstablished = 1
	// maxAckAge is the time without an acknowledgement after which a connection proves nothing: the
	// kernel probes an idle one every keepAliveInterval, and a machine that went silent may come
	// back with another process.
	maxAckAge = 1500 * time.Millisecond
)

// Identity is a process as the directory shows it. The zero value stands for none.
type Identity struct {
	Endpoint string
	Born     int64
	Version  string
	// Generation tells apart processes whose entries state no start.
	Generation int
}

// proves reports whether a connection is known to lead to a process: it was proved itself, or
// another connection to the address that was proved is open after its handshake. Had another
// process accepted the later one, the first would have ended, and its connections with it.
func (p *Pool) proves(c *conn, expected Identity) bool {
	switch {
	case expected == Identity{}:
		return false
	case c.proof == expected:
		return true
	case !p.witnessed(c.address, expected):
		return false
	}
	p.prove(c, expected)
	return true
}

// prove records that a connection leads to a process. Beyond maxWitnesses it proves no others.
func (p *Pool) prove(c *conn, process Identity) {
	c.proof = process
	p.addWitness(c, process, maxWitnesses)
}

func (p *Pool) addWitness(c *conn, process Identity, limit int) {
	p.witnessMu.Lock()
	defer p.witnessMu.Unlock()
	open := slices.DeleteFunc(p.witnesses[c.address], func(w *witness) bool { return w.conn == c || !w.conn.isOpen() })
	if len(open) < limit {
		open = append(open, &witness{conn: c, process: process})
	}
	p.witnesses[c.address] = open
}

// witness is a connection that is known to lead to a process.
type witness struct {
	conn    *conn
	process Identity
}

// witnessed reports whether a connection to the address that leads to a process is open.
func (p *Pool) witnessed(address string, process Identity) bool {
	p.witnessMu.Lock()
	defer p.witnessMu.Unlock()
	return slices.ContainsFunc(p.witnesses[address], func(w *witness) bool { return w.process == process && w.conn.isOpen() })
}

// sweepWitnesses forgets the witnesses that have ended.
func (p *Pool) sweepWitnesses() {
	p.witnessMu.Lock()
	defer p.witnessMu.Unlock()
	for address, list := range p.witnesses {
		list = slices.DeleteFunc(list, func(w *witness) bool { return !w.conn.isOpen() })
		if len(list) == 0 {
			delete(p.witnesses, address)
			continue
		}
		p.witnesses[address] = list
	}
}

// isOpen reports whether neither side has ended the connection and the other one acknowledged
// something lately. The connection may be in use: unlike a read, the kernel's state also shows an
// end that follows unread bytes.
func (c *conn) isOpen() bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		open = err == nil && info.State == tcpEstablished && int64(info.Last_ack_recv) <= maxAckAge.Milliseconds()
	})
	return err == nil && open
}

// Held is a connection without a request that is kept to prove which process is behind others
// to its address.
type Held struct {
	pool *Pool
	conn *conn
}

// Hold opens a connection on which nothing is sent.
func (p *Pool) Hold(ctx context.Context, address string) (*Held, error) {
	c, err := p.open(ctx, address)
	if err != nil {
		return nil, err
	}
	return &Held{pool: p, conn: c}, nil
}

// IsOpen reports whether the connection has not ended.
func (h *Held) IsOpen() bool { return h.conn.isOpen() }

// Address returns the address of the connection.
func (h *Held) Address() string { return h.conn.address }

// Prove records that the connection leads to a process. It proves others as long as it is open.
func (h *Held) Prove(process Identity) {
	h.conn.proof = process
	h.pool.addWitness(h.conn, process, maxWitnesses+maxHeld)
}

// Proves reports whether the connection is known to lead to a process, by itself or by another
// connection.
func (h *Held) Proves(process Identity) bool { return h.pool.proves(h.conn, process) }

// Close closes the connection.
func (h *Held) Close() { _ = h.conn.Close() }

// Ask asks for the process behind an address on a connection of its own, which is kept for
// requests if that is possible.
func (p *Pool) Ask(ctx context.Context, address string, q *Identification) (Process, time.Duration) {
	c, err := p.open(ctx, address)
	if err != nil {
		return Process{State: ProcessNoAnswer}, 0
	}
	began := time.Now()
	usable := c.ask(ctx, q)
	process := c.process
	p.release(c, usable)
	return process, time.Since(began)
}
