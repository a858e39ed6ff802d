package stand

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// FlowGeneratorConfig describes a caller that holds many flows.
type FlowGeneratorConfig struct {
	// Fabric is the endpoint to which packets are sent.
	Fabric netip.AddrPort `yaml:"fabric"`
	// Services are the addresses that flows are opened to, in turn.
	Services []netip.AddrPort `yaml:"services"`
	// Count is the number of flows held open. A flow that ends is replaced.
	Count int `yaml:"count"`
	// Interval is the time between two packets of a flow.
	Interval time.Duration `yaml:"interval"`
	// Lifetime is the mean number of packets of a flow; 0 keeps flows open.
	Lifetime int `yaml:"lifetime"`
	// UDPFraction is the share of UDP flows, from 0 to 1.
	UDPFraction float64 `yaml:"udpShare"`
	Seed        uint64  `yaml:"seed"`
}

// FlowReport is what a caller saw of its flows.
type FlowReport struct {
	Opened  int            `json:"opened"`
	Open    int            `json:"open"`
	Closed  int            `json:"closed"`
	Broken  int            `json:"broken"`
	Reasons map[string]int `json:"reasons,omitempty"`
	// Unopened counts flows whose first packet was never answered.
	Unopened int `json:"unopened"`
	// Responses and Crossed count answers, and those that did not belong to the
	// flow that they reached.
	Responses  int `json:"answers"`
	Mismatched int `json:"crossed"`
	// ByServer counts the open flows of each backend server.
	ByServer map[string]int `json:"byServer"`
}

const (
	retransmitAfter = 150 * time.Millisecond
	maxTransmits    = 60
	flowTick        = 10 * time.Millisecond
)

// FlowGenerator is a running caller.
type FlowGenerator struct {
	cfg    FlowGeneratorConfig
	conn   *net.UDPConn
	port   uint16
	mu     sync.Mutex
	flows  map[netip.AddrPort]*heldFlow // by the caller's inner address
	report FlowReport
	random *rand.Rand
	opened uint32
}

// heldFlow is one flow at the caller.
type heldFlow struct {
	local, remote netip.AddrPort
	udp           bool
	seq           uint32
	acked         bool
	cookie        uint64
	server        string
	sentAt        time.Time
	nextAt        time.Time
	transmits     int
	closing       bool
}

// StartFlowGenerator opens flows and keeps them busy until ctx ends.
func StartFlowGenerator(ctx context.Context, cfg FlowGeneratorConfig) (*FlowGenerator, error) {
	conn, err := listenUDP(ctx, netip.AddrPortFrom(loopback, 0))
	if err != nil {
		return nil, fmt.Errorf("start caller: %w", err)
	}
	f := &FlowGenerator{
		cfg: cfg, conn: conn, port: uint16(conn.LocalAddr().(*net.UDPAddr).Port),
		flows:  map[netip.AddrPort]*heldFlow{},
		random: rand.New(rand.NewPCG(cfg.Seed, 2)),
		report: FlowReport{Reasons: map[string]int{}},
	}
	go f.receive()
	go f.run(ctx)
	return f, nil
}

// Report returns a copy of the caller's counts.
func (f *FlowGenerator) Report() FlowReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.report
	out.Open = len(f.flows)
	out.ByServer = map[string]int{}
	out.Reasons = map[string]int{}
	for reason, n := range f.report.Reasons {
		out.Reasons[reason] = n
	}
	for _, h := range f.flows {
		if h.server != "" {
			out.ByServer[h.server]++
		}
	}
	return out
}

func (f *FlowGenerator) run(ctx context.Context) {
	ticker := time.NewTicker(flowTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.tick()
		}
	}
}

func (f *FlowGenerator) tick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for i := 0; len(f.flows) < f.cfg.Count && i < maxOpensPerTick; i++ {
		f.open(now)
	}
	for _, h := range f.flows {
		switch {
		case h.acked && now.After(h.nextAt):
			f.next(now, h)
		case !h.acked && now.Sub(h.sentAt) > retransmitAfter:
			f.retransmit(now, h)
		}
	}
}

const maxOpensPerTick = 50

// open starts a flow from an inner address that has not been used before.
func (f *FlowGenerator) open(now time.Time) {
	f.opened++
	remote := f.cfg.Services[int(f.opened)%len(f.cfg.Services)]
	n := f.opened
	port := uint16(1024 + n%60000)
	host := f.port // tells this caller's addresses from those of other callers
	local := netip.AddrFrom4([4]byte{10, byte(host >> 8), byte(host), byte(n / 60000)})
	if remote.Addr().Is6() {
		local = netip.AddrFrom16([16]byte{0xfd, 0, byte(host >> 8), byte(host), 15: byte(n / 60000)})
	}
	h := &heldFlow{local: netip.AddrPortFrom(local, port), remote: remote, udp: f.random.Float64() < f.cfg.UDPFraction}
	f.flows[h.local] = h
	f.report.Opened++
	f.send(now, h)
}

func (f *FlowGenerator) next(now time.Time, h *heldFlow) {
	h.seq++
	h.acked = false
	h.transmits = 0
	h.closing = f.cfg.Lifetime > 0 && f.random.IntN(f.cfg.Lifetime) == 0
	f.send(now, h)
}

func (f *FlowGenerator) retransmit(now time.Time, h *heldFlow) {
	if h.transmits < maxTransmits {
		f.send(now, h)
		return
	}
	delete(f.flows, h.local)
	if h.seq == 0 {
		f.report.Unopened++
		return
	}
	f.breakFlow("silent")
}

func (f *FlowGenerator) breakFlow(reason string) {
	f.report.Broken++
	f.report.Reasons[reason]++
}

func (f *FlowGenerator) send(now time.Time, h *heldFlow) {
	h.transmits++
	h.sentAt = now
	seg := segment{
		from: h.local, to: h.remote, udp: h.udp, syn: h.seq == 0 && !h.udp, ack: h.seq > 0, fin: h.closing,
		payload: payload{Reply: f.port, Seq: h.seq},
	}
	if data, err := seg.encode(); err == nil {
		f.conn.WriteToUDPAddrPort(data, f.cfg.Fabric)
	}
}

func (f *FlowGenerator) receive() {
	buf := make([]byte, datagramSize)
	for {
		n, _, err := f.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if seg, err := decodeSegment(buf[:n]); err == nil {
			f.handle(seg)
		}
	}
}

// handle checks that an answer belongs to its flow and to the backend server
// that the flow began with.
func (f *FlowGenerator) handle(seg segment) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.flows[seg.to]
	if h == nil {
		return // late answer of a flow that has ended
	}
	f.report.Responses++
	if seg.from != h.remote {
		f.report.Mismatched++
		return
	}
	switch {
	case seg.rst && h.closing:
		// A repeated FIN found the flow already closed.
		f.closed(h)
	case seg.rst:
		delete(f.flows, h.local)
		f.breakFlow("reset")
	case seg.payload.Seq != h.seq:
		return // late answer to an earlier packet
	case h.seq == 0 && h.cookie == 0:
		h.cookie, h.server = seg.payload.Cookie, seg.payload.Server
		f.acknowledge(h)
	case seg.payload.Cookie != h.cookie:
		if h.seq == 0 {
			return // a second backend server answered a repeated first packet
		}
		delete(f.flows, h.local)
		f.breakFlow("otherServer")
	case h.closing:
		f.closed(h)
	default:
		f.acknowledge(h)
	}
}

func (f *FlowGenerator) closed(h *heldFlow) {
	delete(f.flows, h.local)
	f.report.Closed++
}

func (f *FlowGenerator) acknowledge(h *heldFlow) {
	if h.acked {
		return
	}
	h.acked = true
	jitter := time.Duration(f.random.Int64N(int64(f.cfg.Interval)/2 + 1))
	h.nextAt = time.Now().Add(f.cfg.Interval*3/4 + jitter)
}
