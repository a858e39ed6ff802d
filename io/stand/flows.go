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

// FlowGeneratorConfig configures a caller that keeps many flows open.
type FlowGeneratorConfig struct {
	// Fabric is the endpoint to which packets are sent.
	Fabric netip.AddrPort `yaml:"fabric"`
	// Services are the addresses that flows are opened to, in turn.
	Services []netip.AddrPort `yaml:"services"`
	// Count is the number of open flows. A flow that ends is replaced.
	Count int `yaml:"count"`
	// Interval is the time between two packets of a flow.
	Interval time.Duration `yaml:"interval"`
	// Lifetime is the mean number of packets of a flow; 0 keeps flows open.
	Lifetime int `yaml:"lifetime"`
	// UDPFraction is the fraction of UDP flows, from 0 to 1.
	UDPFraction float64 `yaml:"udpShare"`
	Seed        uint64  `yaml:"seed"`
}

// FlowReport holds the counts of a caller's flows.
type FlowReport struct {
	Opened  int            `json:"opened"`
	Open    int            `json:"open"`
	Closed  int            `json:"closed"`
	Broken  int            `json:"broken"`
	Reasons map[string]int `json:"reasons,omitempty"`
	// Unopened counts flows whose opening packet got no response.
	Unopened int `json:"unopened"`
	// Responses counts the received responses, Mismatched those that did not
	// belong to the flow that they reached.
	Responses  int `json:"answers"`
	Mismatched int `json:"crossed"`
	// ByServer counts the open flows of each backend server.
	ByServer map[string]int `json:"byServer"`
}

const (
	retransmitTimeout = 150 * time.Millisecond
	maxTransmits      = 60
	tickInterval      = 10 * time.Millisecond
)

// FlowGenerator is a caller that opens flows through the fabric and checks every
// response.
type FlowGenerator struct {
	cfg       FlowGeneratorConfig
	conn      *net.UDPConn
	replyPort uint16
	mu        sync.Mutex
	flows     map[netip.AddrPort]*flowState // by the caller's inner address
	report    FlowReport
	random    *rand.Rand
	opened    uint32
}

// flowState is the caller's state of one flow.
type flowState struct {
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

// StartFlowGenerator opens flows and sends packets on them until ctx ends.
func StartFlowGenerator(ctx context.Context, cfg FlowGeneratorConfig) (*FlowGenerator, error) {
	conn, err := listenUDP(ctx, netip.AddrPortFrom(loopback, 0))
	if err != nil {
		return nil, fmt.Errorf("start caller: %w", err)
	}
	f := &FlowGenerator{
		cfg: cfg, conn: conn, replyPort: uint16(conn.LocalAddr().(*net.UDPAddr).Port),
		flows:  map[netip.AddrPort]*flowState{},
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
	for _, s := range f.flows {
		if s.server != "" {
			out.ByServer[s.server]++
		}
	}
	return out
}

func (f *FlowGenerator) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
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
		f.openFlow(now)
	}
	for _, s := range f.flows {
		switch {
		case s.acked && now.After(s.nextAt):
			f.sendNext(now, s)
		case !s.acked && now.Sub(s.sentAt) > retransmitTimeout:
			f.retransmitOrDrop(now, s)
		}
	}
}

const maxOpensPerTick = 50

// openFlow opens a flow from an inner address that has not been used before.
func (f *FlowGenerator) openFlow(now time.Time) {
	f.opened++
	remote := f.cfg.Services[int(f.opened)%len(f.cfg.Services)]
	n := f.opened
	port := uint16(1024 + n%60000)
	callerID := f.replyPort // distinguishes this caller's addresses from those of other callers
	local := netip.AddrFrom4([4]byte{10, byte(callerID >> 8), byte(callerID), byte(n / 60000)})
	if remote.Addr().Is6() {
		local = netip.AddrFrom16([16]byte{0xfd, 0, byte(callerID >> 8), byte(callerID), 15: byte(n / 60000)})
	}
	s := &flowState{local: netip.AddrPortFrom(local, port), remote: remote, udp: f.random.Float64() < f.cfg.UDPFraction}
	f.flows[s.local] = s
	f.report.Opened++
	f.send(now, s)
}

func (f *FlowGenerator) sendNext(now time.Time, s *flowState) {
	s.seq++
	s.acked = false
	s.transmits = 0
	s.closing = f.cfg.Lifetime > 0 && f.random.IntN(f.cfg.Lifetime) == 0
	f.send(now, s)
}

// retransmitOrDrop sends the last packet of a flow again. After maxTransmits it
// drops the flow and counts it as unopened or broken.
func (f *FlowGenerator) retransmitOrDrop(now time.Time, s *flowState) {
	if s.transmits < maxTransmits {
		f.send(now, s)
		return
	}
	delete(f.flows, s.local)
	if s.seq == 0 {
		f.report.Unopened++
		return
	}
	f.recordBroken("silent")
}

func (f *FlowGenerator) recordBroken(reason string) {
	f.report.Broken++
	f.report.Reasons[reason]++
}

func (f *FlowGenerator) send(now time.Time, s *flowState) {
	s.transmits++
	s.sentAt = now
	seg := segment{
		from: s.local, to: s.remote, udp: s.udp, syn: s.seq == 0 && !s.udp, ack: s.seq > 0, fin: s.closing,
		payload: payload{Reply: f.replyPort, Seq: s.seq},
	}
	if data, err := seg.encode(); err == nil {
		f.conn.WriteToUDPAddrPort(data, f.cfg.Fabric)
	}
}

func (f *FlowGenerator) receive() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := f.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if seg, err := decodeSegment(buf[:n]); err == nil {
			f.handleResponse(seg)
		}
	}
}

// handleResponse checks that a response belongs to its flow and comes from the
// backend server that the flow was opened on.
func (f *FlowGenerator) handleResponse(seg segment) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.flows[seg.to]
	if s == nil {
		return // late response on a flow that has ended
	}
	f.report.Responses++
	if seg.from != s.remote {
		f.report.Mismatched++
		return
	}
	switch {
	case seg.rst && s.closing:
		// The flow was already closed when a retransmitted FIN arrived.
		f.recordClosed(s)
	case seg.rst:
		delete(f.flows, s.local)
		f.recordBroken("reset")
	case seg.payload.Seq != s.seq:
		return // late response to an earlier packet
	case s.seq == 0 && s.cookie == 0:
		s.cookie, s.server = seg.payload.Cookie, seg.payload.Server
		f.markAcked(s)
	case seg.payload.Cookie != s.cookie:
		if s.seq == 0 {
			return // another backend server responded to a retransmitted opening packet
		}
		delete(f.flows, s.local)
		f.recordBroken("otherServer")
	case s.closing:
		f.recordClosed(s)
	default:
		f.markAcked(s)
	}
}

func (f *FlowGenerator) recordClosed(s *flowState) {
	delete(f.flows, s.local)
	f.report.Closed++
}

func (f *FlowGenerator) markAcked(s *flowState) {
	if s.acked {
		return
	}
	s.acked = true
	jitter := time.Duration(f.random.Int64N(int64(f.cfg.Interval)/2 + 1))
	s.nextAt = time.Now().Add(f.cfg.Interval*3/4 + jitter)
}
