// Package relay is the entry role for networks that carry a flow cookie: it
// receives callers' packets and forwards each to the backend server that its
// cookie names, or, for an opening packet, to one that it picks.
//
// An instance keeps links to a few control replicas, from which it learns the
// configuration and the backend servers. It takes what is newest from any of
// them, never goes back, and goes on with what it has when it is cut off. When it
// has lost every replica it learns from another entry instance. It keeps nothing on
// disk and nothing that another instance would need.
//
// The format of packets is a seam (Wire), so that the network's names and bytes
// stay outside.
//
// # Usage
//
//	r, err := relay.Start(ctx, relay.Config{Name: "entry-1", Packets: addr, Seeds: seeds, Wire: wire, Log: log})
//	ready := r.Ready()      // for the network's readiness probe
//	err = r.Shutdown(ctx)   // reports not ready, forwards on for the grace period
package relay

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"boragepost/core/flow"
	"boragepost/core/roster"
	"boragepost/io/feed"
	"boragepost/io/links"
	"boragepost/io/proto"
	"boragepost/io/timer"
)

const (
	// packetBuffer holds the datagrams that arrive while the process does not
	// run, for some 100 ms of 20,000 packets a second.
	packetBuffer = 4 << 20
	maxPacket    = 2048
	// expireInterval is how often the load tracker drops what is outdated.
	expireInterval = time.Second
	// defaultIdleTimeout holds before the configuration names one.
	defaultIdleTimeout = 15 * time.Second
)

// PacketFormat is the format of packets.
type PacketFormat struct {
	// Parse reads the header of a caller's packet. It returns an error for
	// bytes that are no packet.
	Parse func(packet []byte) (flow.CookieHeader, error)
	// Encapsulate appends to dst the datagram that carries a packet to a backend
	// server. A cookie other than 0 is written into the packet.
	Encapsulate func(dst, packet []byte, server uint64, cookie flow.Cookie) []byte
	// Reset appends to dst a reset for the caller of a packet, and returns the
	// caller's address for it.
	Reset func(dst []byte, h flow.CookieHeader) ([]byte, netip.AddrPort)
	// RequestID returns the identifier of the request that starts in a packet,
	// for the log, or "" when it shows none. It may be nil.
	RequestID func(packet []byte) string
}

// Config is what an entry instance needs to run.
type Config struct {
	Name string
	Zone string
	// Packets is the address for datagrams, Link the one for entry instances that
	// have lost every control replica.
	Packets, Link netip.AddrPort
	// Bind is the address to listen at for links, if something stands between;
	// zero is Link itself.
	Bind netip.AddrPort
	// Seeds are link addresses of some control replicas.
	Seeds        []netip.AddrPort
	PacketFormat PacketFormat
	// Grace is how long packets are forwarded on after a shutdown was asked for.
	Grace time.Duration
	Log   *logrus.Entry
}

// Relay is one running entry instance.
type Relay struct {
	cfg      Config
	log      *logrus.Entry
	conn     *net.UDPConn
	start    time.Time
	leaving  atomic.Bool
	upstream upstream
	hub      feed.Hub
	server   *http.Server
	counters *counters
	trace    trace
	ctx      context.Context
	cancel   context.CancelFunc
	stopped  sync.WaitGroup

	mu       sync.Mutex // guards what follows
	balancer flow.CookieBalancer
	held     []heldPacket
	out      []byte // scratch for datagrams
}

// Start opens the packet address and runs an instance until ctx ends or Shutdown
// or Close is called.
func Start(ctx context.Context, cfg Config) (*Relay, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.Packets))
	if err != nil {
		return nil, fmt.Errorf("open packet address: %w", err)
	}
	r := &Relay{cfg: cfg, log: cfg.Log.WithField("instance", cfg.Name), conn: conn, start: time.Now()}
	r.counters = newCounters(r)
	r.trace.init(r)
	if err := conn.SetReadBuffer(packetBuffer); err != nil {
		r.log.WithError(err).Warn("packetBufferNotSet")
	}
	r.balancer.Zone = cfg.Zone
	r.balancer.Load.OnResponse = func(took time.Duration) { r.counters.answerSeconds.Observe(took.Seconds()) }
	r.ctx, r.cancel = context.WithCancel(ctx)
	if err := r.feedOthers(); err != nil {
		r.cancel()
		conn.Close()
		return nil, err
	}
	r.upstream.init(r)
	r.stopped.Add(2)
	go func() {
		defer r.stopped.Done()
		r.receive()
	}()
	go func() {
		defer r.stopped.Done()
		r.tick()
	}()
	r.log.WithField("packets", cfg.Packets).WithField("seeds", cfg.Seeds).Info("entryStarted")
	return r, nil
}

// feedOthers serves what this instance knows to others.
func (r *Relay) feedOthers() error {
	r.hub.AllServers = func() []roster.Server {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.balancer.Servers()
	}
	r.hub.Digest = func() uint64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.balancer.Digest()
	}
	mux := http.NewServeMux()
	mux.Handle(proto.RelayPath, r.hub.Handler(r.ctx, &r.counters.meter))
	server, err := links.Serve(cmp.Or(r.cfg.Bind, r.cfg.Link), mux)
	if err != nil {
		return fmt.Errorf("serve links: %w", err)
	}
	r.server = server
	return nil
}

// Address returns the address for datagrams, with the port that was opened.
func (r *Relay) Address() netip.AddrPort { return r.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Ready reports whether the instance wants new flows: it can serve them and is
// not leaving.
func (r *Relay) Ready() bool {
	if r.leaving.Load() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.balancer.Ready()
}

// Shutdown reports not ready at once, forwards on for the grace period so that
// the network can take the instance out, and ends it.
func (r *Relay) Shutdown(ctx context.Context) error {
	r.leaving.Store(true)
	r.log.WithField("grace", r.cfg.Grace).Info("shutdownStarted")
	timer.Sleep(ctx, r.cfg.Grace)
	r.Close()
	r.log.Info("shutdownFinished")
	return nil
}

// Close ends the instance at once.
func (r *Relay) Close() {
	r.cancel()
	r.conn.Close()
	r.server.Close()
	r.stopped.Wait()
}

func (r *Relay) now() time.Duration { return time.Since(r.start) }

// tick retries held packets and expires what is outdated until ctx ends.
func (r *Relay) tick() {
	ticker := time.NewTicker(holdInterval)
	defer ticker.Stop()
	expired := r.now()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		}
		r.mu.Lock()
		now := r.now()
		r.retryHeld(now)
		r.trace.summarize(now)
		if now-expired >= expireInterval {
			expired = now
			r.balancer.Load.Expire(now, r.idleTimeout())
			r.balancer.Expire(now)
		}
		r.balancer.Load.DetectStuckRequests(now)
		failures := r.balancer.Load.TakeFailures()
		r.mu.Unlock()
		if len(failures) > 0 {
			r.upstream.report(failures)
		}
	}
}

func (r *Relay) idleTimeout() time.Duration {
	if c, ok := r.balancer.Config(); ok && c.IdleTimeout > 0 {
		return c.IdleTimeout
	}
	return defaultIdleTimeout
}
