package stand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"boragepost/io/entry"
	"boragepost/io/timer"
)

// ServerConfig configures a backend server.
type ServerConfig struct {
	Name    string `yaml:"name"`
	Service string `yaml:"service"`
	Zone    string `yaml:"zone"`
	// Address is the service's address. Packets to any other address are
	// misdelivered.
	Address netip.AddrPort `yaml:"address"`
	Packets netip.AddrPort `yaml:"packets"`
	HTTP    netip.AddrPort `yaml:"http"`
	// Announce lists the peer endpoints of entry instances.
	Announce []netip.AddrPort `yaml:"announce"`
	Slots    int              `yaml:"slots"`
	// Queue is the number of requests that may wait for a slot; further ones
	// are shed.
	Queue       int           `yaml:"queue"`
	Weight      int           `yaml:"weight"`
	ShortTime   time.Duration `yaml:"shortTime"`
	LongTime    time.Duration `yaml:"longTime"`
	WarmupDelay time.Duration `yaml:"coldTime"` // extra time of each request during the warm-up
	Incarnation uint64        `yaml:"incarnation"`
	// LoadLag delays the load that the load endpoint reports and LoadFactor
	// multiplies it; a factor of 0 counts as 1. A Silent server reports itself
	// healthy but responds to no packet and no request.
	LoadLag    time.Duration `yaml:"loadLag"`
	LoadFactor float64       `yaml:"loadFactor"`
	Silent     bool          `yaml:"silent"`
	Seed       uint64        `yaml:"seed"`
}

const (
	announceInterval = time.Second
	warmupPeriod     = 3 * time.Second // after the start of the server
	longPrefix       = "/long"
)

// ServerReport holds the counts of a backend server.
type ServerReport struct {
	Server           string         `json:"server"`
	Service          string         `json:"service"`
	Runs             map[string]int `json:"runs"` // by idempotency key
	Flows            int            `json:"flows"`
	NewFlowAt        int64          `json:"newFlowAtUnixMs"` // time of the latest new flow
	Packets          int            `json:"packets"`
	Misdelivered     int            `json:"misdelivered"`
	UntrackedPackets int            `json:"strays"` // neither of an open flow nor opening one
	Shed             int            `json:"shed"`
	Running          int            `json:"running"`
}

// Server is a running backend server.
type Server struct {
	cfg         ServerConfig
	conn        *net.UDPConn
	slots       chan struct{}
	mu          sync.Mutex
	flows       map[netip.AddrPort]uint64 // cookie by caller
	report      ServerReport
	queued      int
	loadSamples []loadSample
	start       time.Time
	random      *rand.Rand
}

// StartServer runs a backend server until ctx ends.
func StartServer(ctx context.Context, cfg ServerConfig) (*Server, error) {
	conn, err := listenUDP(ctx, cfg.Packets)
	if err != nil {
		return nil, fmt.Errorf("start backend server %s: %w", cfg.Name, err)
	}
	l, err := net.Listen("tcp", cfg.HTTP.String())
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("start backend server %s: %w", cfg.Name, err)
	}
	if cfg.Incarnation == 0 {
		cfg.Incarnation = uint64(time.Now().UnixNano())
	}
	s := &Server{
		cfg: cfg, conn: conn, slots: make(chan struct{}, max(cfg.Slots, 1)),
		flows: map[netip.AddrPort]uint64{}, start: time.Now(),
		random: rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)),
		report: ServerReport{Server: cfg.Name, Service: cfg.Service, Runs: map[string]int{}},
	}
	h := &http.Server{Handler: s.routes()}
	context.AfterFunc(ctx, func() { h.Close() })
	go h.Serve(l)
	go s.receive()
	go s.announce(ctx)
	return s, nil
}

// Report returns a copy of the server's counts.
func (s *Server) Report() ServerReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.report
	out.Flows = len(s.flows)
	out.Runs = make(map[string]int, len(s.report.Runs))
	for k, n := range s.report.Runs {
		out.Runs[k] = n
	}
	return out
}

func (s *Server) receive() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		seg, err := decodeSegment(buf[:n])
		if err != nil || s.cfg.Silent {
			continue
		}
		reply := s.handlePacket(seg)
		data, err := reply.encode()
		if err == nil {
			s.sendToCaller(seg.payload.Reply, data)
		}
	}
}

// sendToCaller sends a packet directly to the caller's UDP port.
func (s *Server) sendToCaller(port uint16, data []byte) {
	s.conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(loopback, port))
}

var loopback = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// handlePacket updates the flow's state, as a TCP stack does, and returns the
// response.
func (s *Server) handlePacket(seg segment) segment {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Packets++
	reply := segment{from: seg.to, to: seg.from, ack: true, udp: seg.udp,
		payload: payload{Seq: seg.payload.Seq, Server: s.cfg.Name}}
	if seg.to != s.cfg.Address {
		s.report.Misdelivered++
		reply.rst = true
		return reply
	}
	cookie, tracked := s.flows[seg.from]
	opens := seg.syn || seg.udp && seg.payload.Seq == 0
	switch {
	case opens && !tracked:
		cookie = s.random.Uint64() | 1
		s.flows[seg.from] = cookie
		s.report.NewFlowAt = time.Now().UnixMilli()
	case !tracked:
		s.report.UntrackedPackets++
		reply.rst = true
		return reply
	}
	if seg.fin {
		delete(s.flows, seg.from)
		reply.fin = true
	}
	reply.syn = seg.syn
	reply.payload.Cookie = cookie
	return reply
}

// announce posts the server's announcement at intervals, to the entry instances
// in turn.
func (s *Server) announce(ctx context.Context) {
	client := &http.Client{Timeout: announceInterval}
	body, _ := json.Marshal(entry.Announcement{
		Service: s.cfg.Service, Name: s.cfg.Name, Zone: s.cfg.Zone, Packets: s.cfg.Packets, HTTP: s.cfg.HTTP,
		Slots: s.cfg.Slots, Weight: s.cfg.Weight, Incarnation: s.cfg.Incarnation,
	})
	next := int(s.cfg.Seed)
	for ctx.Err() == nil {
		wait := announceInterval
		if !postAnnouncement(ctx, client, s.cfg.Announce[next%len(s.cfg.Announce)], body) {
			wait /= 10
		}
		next++
		timer.Sleep(ctx, wait)
	}
}

func postAnnouncement(ctx context.Context, client *http.Client, to netip.AddrPort, body []byte) bool {
	url := "http://" + to.String() + "/v1/announce"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(map[string]any{
			"service": s.cfg.Service, "name": s.cfg.Name, "incarnation": s.cfg.Incarnation})
	})
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(map[string]float64{"running": s.reportedLoad(time.Now())})
	})
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(s.Report())
	})
	mux.HandleFunc("/", s.handleRequest)
	return mux
}

// loadSample is the number of running requests at one time.
type loadSample struct {
	at      time.Time
	running int
}

// reportedLoad returns the load as it was LoadLag ago, times LoadFactor.
func (s *Server) reportedLoad(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadSamples = append(s.loadSamples, loadSample{at: now, running: len(s.slots)})
	for len(s.loadSamples) > 1 && now.Sub(s.loadSamples[1].at) >= s.cfg.LoadLag {
		s.loadSamples = s.loadSamples[1:]
	}
	factor := s.cfg.LoadFactor
	if factor == 0 {
		factor = 1
	}
	return factor * float64(s.loadSamples[0].running)
}

// withCallerDeadline returns a context that ends at the caller's deadline.
func withCallerDeadline(req *http.Request) (context.Context, context.CancelFunc) {
	seconds, err := strconv.ParseFloat(req.Header.Get("Request-Timeout"), 64)
	if err != nil {
		return context.WithCancel(req.Context())
	}
	return context.WithTimeout(req.Context(), time.Duration(seconds*float64(time.Second)))
}

// handleRequest runs a request in a slot. The response contains the request's
// key, so that the caller can match it to the request.
func (s *Server) handleRequest(w http.ResponseWriter, req *http.Request) {
	ctx, cancel := withCallerDeadline(req)
	defer cancel()
	if s.cfg.Silent {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	if !s.acquireSlot(ctx) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "full", http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	key := req.Header.Get("Idempotency-Key")
	body, _ := io.ReadAll(req.Body)
	s.mu.Lock()
	s.report.Runs[key]++
	s.mu.Unlock()
	timer.Sleep(ctx, s.serviceTime(req))
	if ctx.Err() != nil {
		panic(http.ErrAbortHandler) // the caller has disconnected or its deadline has passed
	}
	w.Header().Set("Request-Id", req.Header.Get("Request-Id"))
	fmt.Fprintf(w, "%s %s ran %s %s\n", s.cfg.Service, s.cfg.Name, key, body)
}

func (s *Server) serviceTime(req *http.Request) time.Duration {
	d := s.cfg.ShortTime
	if strings.HasPrefix(req.URL.Path, longPrefix) {
		d = s.cfg.LongTime
	}
	if time.Since(s.start) < warmupPeriod {
		d += s.cfg.WarmupDelay
	}
	return d
}

// acquireSlot acquires a slot. If none is free, it waits in a bounded queue. It
// reports false if the request is shed, the caller disconnects or its deadline
// passes.
func (s *Server) acquireSlot(ctx context.Context) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	s.mu.Lock()
	if s.queued >= s.cfg.Queue {
		s.report.Shed++
		s.mu.Unlock()
		return false
	}
	s.queued++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.queued--
		s.mu.Unlock()
	}()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}
