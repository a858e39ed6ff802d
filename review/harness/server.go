package harness

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// heartbeatInterval is the interval that the settings name.
const heartbeatInterval = 770 * time.Millisecond

// Server is one start of a backend server. It serves each request at once.
type Server struct {
	Name, Service, Zone string
	ID                  uint32
	Address             netip.AddrPort
	// Nodes are the addresses to which it sends its calls.
	Nodes []string

	d        *Deployment
	conn     *net.UDPConn
	born     int64
	mu       sync.Mutex
	flows    map[flowEnds]*serverFlow
	state    string
	sequence int
	stopped  chan struct{}
	acked    chan struct{} // closed when the first heartbeat was acknowledged
	once     sync.Once
}

type flowEnds struct{ client, route netip.AddrPort }

type serverFlow struct {
	seq, ack, echo uint32
	open           bool
	response       []byte // the latest one
}

// StartServer starts a backend server that sends heartbeats.
func (d *Deployment) StartServer(s *Server) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.Address))
	if err != nil {
		return err
	}
	s.d, s.conn, s.born, s.state = d, conn, time.Now().UnixMilli(), "ready"
	s.flows, s.stopped, s.acked = map[flowEnds]*serverFlow{}, make(chan struct{}), make(chan struct{})
	d.Note("server %s starts: id i-%08x, born %d, at %v", s.Name, s.ID, s.born, s.Address)
	go s.receive()
	go s.beatLoop()
	return nil
}

// Acked is closed when the first heartbeat was acknowledged.
func (s *Server) Acked() <-chan struct{} { return s.acked }

// Stop ends the server.
func (s *Server) Stop() {
	close(s.stopped)
	s.conn.Close()
	s.d.Note("server %s exits", s.Name)
}

func (s *Server) beatLoop() {
	for first := true; ; first = false {
		if !first {
			select {
			case <-s.stopped:
				return
			case <-time.After(heartbeatInterval):
			}
		}
		if s.Beat() {
			s.once.Do(func() {
				s.d.Note("server %s: its first heartbeat is acknowledged", s.Name)
				close(s.acked)
			})
		}
	}
}

// Path returns the path of its calls.
func (s *Server) Path() string { return fmt.Sprintf("/boragepost/instances/i-%08x", s.ID) }

// Body returns the body of its next heartbeat.
func (s *Server) Body() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	body, err := json.Marshal(map[string]any{
		"service": s.Service, "address": s.Address, "zone": s.Zone, "version": "v1", "slots": 3, "state": s.state,
		"cold-remaining-ms": 0, "sequence": s.sequence, "born": s.born,
	})
	if err != nil {
		panic(err) // only basic types
	}
	return body
}

// Beat sends one heartbeat to its nodes in turn until one acknowledges it.
func (s *Server) Beat() bool {
	first := rand.IntN(len(s.Nodes))
	for i := range s.Nodes {
		select {
		case <-s.stopped:
			return false
		default:
		}
		node := s.Nodes[(first+i)%len(s.Nodes)]
		if status, _ := s.d.Call(http.MethodPut, node, s.Path(), s.Body()); status/100 == 2 {
			return true
		}
	}
	return false
}

// Drain reports that the server leaves, and returns when that is acknowledged.
func (s *Server) Drain() {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.d.Note("server %s reports draining", s.Name)
	for !s.Beat() {
		time.Sleep(100 * time.Millisecond)
	}
	s.d.Note("server %s: draining is acknowledged", s.Name)
}

func (s *Server) receive() {
	buf := make([]byte, 2048)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		p, err := parsePacket(buf[8:n])
		intended := binary.BigEndian.Uint64(buf)
		if err != nil || intended != 0 && intended != uint64(s.ID) {
			continue // it sends nothing if it is not the intended backend server
		}
		if p.sum != p.keyedSum() {
			s.d.Note("server %s: a packet that its sender didn't write so, from %v to %v", s.Name, p.from, p.to)
			continue
		}
		s.mu.Lock()
		s.handle(p)
		s.mu.Unlock()
	}
}

func (s *Server) handle(p packet) {
	ends := flowEnds{client: p.from, route: p.to}
	f := s.flows[ends]
	switch {
	case p.flags&flagSYN != 0:
		if f == nil {
			f = &serverFlow{seq: rand.Uint32(), ack: p.seq + 1}
			s.flows[ends] = f
		}
		f.echo = p.echo
		if !f.open {
			s.send(ends, packet{flags: flagSYN | flagACK, echo: f.echo, seq: f.seq, ack: f.ack})
		}
		return
	case f == nil:
		if p.flags&flagRST == 0 {
			s.d.Note("server %s sends a reset to %v: it does not hold the flow", s.Name, p.from)
			s.send(ends, packet{flags: flagRST, echo: p.echo, seq: p.ack})
		}
		return
	}
	f.echo = p.echo
	if !f.open && p.ack == f.seq+1 {
		f.open = true
		f.seq++
		s.d.Note("server %s: the flow from %v to %v is open", s.Name, p.from, p.to)
	}
	if p.flags&flagRST != 0 {
		delete(s.flows, ends)
		return
	}
	if len(p.data) > 0 && f.open {
		s.handleData(ends, f, p)
	}
	if p.flags&flagFIN != 0 {
		s.send(ends, packet{flags: flagFIN | flagACK, echo: f.echo, seq: f.seq, ack: p.seq + 1})
		delete(s.flows, ends)
	}
}

// handleData runs a request, or sends the response again when the request comes again.
func (s *Server) handleData(ends flowEnds, f *serverFlow, p packet) {
	if p.seq == f.ack {
		f.ack += uint32(len(p.data))
		f.response = append([]byte("response to "), p.data...)
		f.seq += uint32(len(f.response))
		s.d.Note("server %s runs %s", s.Name, p.data)
	}
	flags := byte(flagACK)
	s.send(ends, packet{flags: flags, echo: f.echo, seq: f.seq - uint32(len(f.response)), ack: f.ack, data: f.response})
}

func (s *Server) send(ends flowEnds, p packet) {
	p.from, p.to = ends.route, ends.client
	s.conn.WriteToUDPAddrPort(p.signed(), netip.AddrPortFrom(ends.client.Addr(), s.d.Ports.Packets))
}
