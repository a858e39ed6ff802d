package harness

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// Client is one machine of clients.
type Client struct {
	d        *Deployment
	conn     *net.UDPConn
	ip       netip.Addr
	entries  []*Machine
	mu       sync.Mutex
	lastPort uint16
	misses   map[*Machine]int
	inboxes  map[uint16]chan packet
}

// StartClient starts a machine of clients, whose packets the routers forward to the
// frontend machines that answer the readiness probe.
func (d *Deployment) StartClient(host int, entries ...*Machine) (*Client, error) {
	ip := d.Address(host)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, d.Ports.Packets)))
	if err != nil {
		return nil, err
	}
	c := &Client{d: d, conn: conn, ip: ip, entries: entries, lastPort: 40000, misses: map[*Machine]int{}, inboxes: map[uint16]chan packet{}}
	for _, m := range entries {
		c.misses[m] = 2
		go c.probe(m)
	}
	go c.receive()
	return c, nil
}

// probe asks a machine for its readiness twice per second.
func (c *Client) probe(m *Machine) {
	for {
		status, _ := c.d.Call(http.MethodGet, netip.AddrPortFrom(m.IP, c.d.Ports.Ready).String(), "/boragepost/readiness", nil)
		c.mu.Lock()
		if status == http.StatusOK {
			c.misses[m] = 0
		} else {
			c.misses[m]++
		}
		c.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
}

// AwaitReady waits until all frontend machines are in rotation.
func (c *Client) AwaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if len(c.rotation()) == len(c.entries) {
			return nil
		}
	}
	return errors.New("not all frontend machines are ready")
}

func (c *Client) rotation() (in []*Machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.entries {
		if c.misses[m] < 2 {
			in = append(in, m)
		}
	}
	return in
}

func (c *Client) receive() {
	buf := make([]byte, 2048)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, err := parsePacket(buf[:n])
		reset := p.flags == flagRST && p.sum == 0 && len(p.data) == 0
		if err != nil || !reset && p.sum != p.keyedSum() {
			c.d.Note("client: a packet that its sender didn't write so, from %v", from)
			continue
		}
		c.mu.Lock()
		inbox := c.inboxes[p.to.Port()]
		c.mu.Unlock()
		select {
		case inbox <- p:
		default:
		}
	}
}

// Flow is a flow of a client.
type Flow struct {
	Port     uint16
	c        *Client
	route    netip.AddrPort
	inbox    chan packet
	seq, ack uint32
	echo     uint32
	requests int
}

// Errors of a flow.
var (
	// ErrNotOpened means that the flow was not opened.
	ErrNotOpened = errors.New("the flow was not opened")
	// ErrServerReset means that the backend server has reset the flow.
	ErrServerReset = errors.New("the backend server has reset the flow")
	// ErrSystemReset means that a reset has arrived that the backend server didn't send.
	ErrSystemReset = errors.New("a reset has arrived that the flow's backend server didn't send")
	// ErrNoResponse means that no response has arrived before the deadline.
	ErrNoResponse = errors.New("no response")
)

// send sends a packet through the machine that the routers select for the flow.
func (f *Flow) send(p packet) {
	p.from, p.to = netip.AddrPortFrom(f.c.ip, f.Port), f.route
	in := f.c.rotation()
	if len(in) == 0 {
		in = f.c.entries
	}
	m := in[int(f.Port)%len(in)]
	f.c.conn.WriteToUDPAddrPort(p.signed(), netip.AddrPortFrom(m.IP, f.c.d.Ports.Packets))
}

// Open opens a flow to a route.
func (c *Client) Open(route netip.AddrPort) (*Flow, error) {
	c.mu.Lock()
	c.lastPort++
	f := &Flow{Port: c.lastPort, c: c, route: route, inbox: make(chan packet, 64), seq: rand.Uint32()}
	c.inboxes[f.Port] = f.inbox
	c.mu.Unlock()
	for i, wait := range []time.Duration{200, 400, 800} {
		f.send(packet{flags: flagSYN, seq: f.seq, ack: uint32(i)})
		timeout := time.After(wait * time.Millisecond)
		for waiting := true; waiting; {
			select {
			case p := <-f.inbox:
				switch {
				case p.flags&flagRST != 0:
					c.d.Note("client: flow %d to %v is reset before it opened, sum %08x", f.Port, route, p.sum)
					return nil, ErrNotOpened
				case p.flags&flagSYN != 0:
					f.seq++
					f.ack, f.echo = p.seq+1, p.echo
					f.send(packet{flags: flagACK, echo: f.echo, seq: f.seq, ack: f.ack})
					return f, nil
				}
			case <-timeout:
				waiting = false
			}
		}
	}
	c.d.Note("client: flow %d to %v gets no answer", f.Port, route)
	return nil, ErrNotOpened
}

// Echo returns the latest echo that the flow has received.
func (f *Flow) Echo() uint32 { return f.echo }

// Request sends a request and returns when its response has arrived.
func (f *Flow) Request(deadline time.Duration) error {
	f.requests++
	data := fmt.Appendf(nil, "request %d.%d", f.Port, f.requests)
	f.c.d.Note("client sends %s", data)
	p := packet{flags: flagACK, seq: f.seq, ack: f.ack, data: data}
	f.seq += uint32(len(data))
	end := time.After(deadline)
	for wait := 200 * time.Millisecond; ; wait = min(2*wait, 1600*time.Millisecond) {
		p.echo = f.echo
		f.send(p)
		again := time.After(wait)
		for waiting := true; waiting; {
			select {
			case r := <-f.inbox:
				switch {
				case r.flags&flagRST != 0 && r.sum == 0:
					f.c.d.Note("client: flow %d gets a reset that no server wrote (sum 0)", f.Port)
					return ErrSystemReset
				case r.flags&flagRST != 0:
					f.c.d.Note("client: flow %d gets a reset of its server", f.Port)
					return ErrServerReset
				case r.flags&flagSYN == 0 && r.seq == f.ack && len(r.data) > 0:
					f.echo = r.echo
					f.ack += uint32(len(r.data))
					f.send(packet{flags: flagACK, echo: f.echo, seq: f.seq, ack: f.ack})
					f.c.d.Note("client gets %q", r.data)
					return nil
				}
			case <-again:
				waiting = false
			case <-end:
				f.c.d.Note("client: %s gets no response in time", data)
				return ErrNoResponse
			}
		}
	}
}
