package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"

	"boragepost/core/agent"
	"boragepost/core/flow"
	"boragepost/io/packet"
	"boragepost/io/timer"
)

const (
	// maxDatagramBytes is the maximum size of a received datagram.
	maxDatagramBytes  = 9216
	batchSize         = 64
	socketBufferBytes = 4 << 20
	// receiveErrorDelay keeps a worker from spinning on a failing socket.
	receiveErrorDelay = 10 * time.Millisecond
)

// dataPlane runs the workers that read packets from the fabric and forward them to
// backend servers. Each worker has its own socket on the shared endpoint.
type dataPlane struct {
	entry   *Entry
	sockets []*net.UDPConn
}

func openDataPlane(e *Entry) (*dataPlane, error) {
	p := &dataPlane{entry: e}
	for range max(e.cfg.Settings.Workers, 1) {
		conn, err := listenReusePort(e.ctx, e.cfg.Settings.Packets)
		if err != nil {
			p.close()
			return nil, err
		}
		p.sockets = append(p.sockets, conn)
	}
	return p, nil
}

// listenReusePort opens one of several sockets on the same endpoint. The kernel
// distributes the datagrams among them (SO_REUSEPORT).
func listenReusePort(ctx context.Context, addr netip.AddrPort) (*net.UDPConn, error) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var optErr error
		err := c.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
		return errors.Join(err, optErr)
	}}
	conn, err := lc.ListenPacket(ctx, "udp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("listen for packets: %w", err)
	}
	udp := conn.(*net.UDPConn)
	udp.SetReadBuffer(socketBufferBytes)
	udp.SetWriteBuffer(socketBufferBytes)
	return udp, nil
}

func (p *dataPlane) run(wg *sync.WaitGroup) {
	for _, conn := range p.sockets {
		wg.Add(1)
		go func() {
			defer wg.Done()
			newWorker(p.entry, conn).run()
		}()
	}
}

func (p *dataPlane) close() {
	if p == nil {
		return
	}
	for _, c := range p.sockets {
		c.Close()
	}
}

// sendResolved sends a packet that was held until its query was resolved.
func (p *dataPlane) sendResolved(v flow.Verdict, inner []byte) {
	if v.Action != flow.Forward {
		p.entry.counters.countDrop(v.Reason)
		return
	}
	if _, err := p.sockets[0].WriteToUDPAddrPort(inner, v.Target); err != nil {
		p.entry.counters.sendErrors.Add(1)
		return
	}
	p.entry.counters.resolved.Add(1)
}

// worker forwards packets from one socket to backend servers in batches.
type worker struct {
	entry  *Entry
	conn   *ipv4.PacketConn
	parser *packet.Parser
	in     []ipv4.Message
	out    []ipv4.Message
	addrs  map[netip.AddrPort]*net.UDPAddr
}

func newWorker(e *Entry, conn *net.UDPConn) *worker {
	w := &worker{
		entry: e, conn: ipv4.NewPacketConn(conn), parser: packet.NewParser(),
		in: make([]ipv4.Message, batchSize), out: make([]ipv4.Message, 0, batchSize),
		addrs: map[netip.AddrPort]*net.UDPAddr{},
	}
	for i := range w.in {
		w.in[i].Buffers = [][]byte{make([]byte, maxDatagramBytes)}
	}
	for i := range cap(w.out) {
		w.out[:cap(w.out)][i].Buffers = make([][]byte, 1)
	}
	return w
}

func (w *worker) run() {
	for {
		n, err := w.conn.ReadBatch(w.in, 0)
		if err != nil {
			if w.entry.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			w.entry.counters.receiveErrors.Add(1)
			timer.Sleep(w.entry.ctx, receiveErrorDelay)
			continue
		}
		w.out = w.out[:0]
		now := w.entry.now()
		for i := range n {
			w.handleDatagram(now, w.in[i].Buffers[0][:w.in[i].N])
		}
		w.flush()
	}
}

func (w *worker) handleDatagram(now int64, datagram []byte) {
	c := &w.entry.counters
	inner, h, err := w.parser.Parse(datagram)
	if err != nil {
		c.malformed.Add(1)
		return
	}
	v := w.entry.balancer.Decide(now, h)
	switch v.Action {
	case flow.Forward:
		w.enqueue(inner, v.Target)
		if v.Report {
			w.enqueueQuery(agent.Query{Verdict: v, Header: h})
		}
	case flow.Query:
		w.enqueueQuery(agent.Query{Verdict: v, Header: h, Packet: append([]byte(nil), inner...)})
	default:
		c.countDrop(v.Reason)
	}
}

func (w *worker) enqueueQuery(q agent.Query) {
	select {
	case w.entry.queries <- q:
	default:
		w.entry.counters.queriesDropped.Add(1)
	}
}

func (w *worker) enqueue(inner []byte, to netip.AddrPort) {
	addr := w.addrs[to]
	if addr == nil {
		addr = net.UDPAddrFromAddrPort(to)
		w.addrs[to] = addr
	}
	w.out = w.out[:len(w.out)+1]
	m := &w.out[len(w.out)-1]
	m.Buffers[0] = inner
	m.Addr = addr
}

// flush writes the queued packets. A packet that cannot be sent is dropped, as on
// a congested link.
func (w *worker) flush() {
	for sent := 0; sent < len(w.out); {
		n, err := w.conn.WriteBatch(w.out[sent:], 0)
		if err != nil { // of the first packet
			w.entry.counters.sendErrors.Add(1)
			sent++
			continue
		}
		w.entry.counters.forwarded.Add(int64(n))
		sent += n
	}
}
