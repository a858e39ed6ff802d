// Package relay implements the entry role for networks that carry a flow cookie: it
// receives callers' packets and forwards each to the backend server that its
// cookie names, or, for an opening packet, to one that it picks.
//
// An instance keeps links to a few control replicas, from which it receives the
// configuration and the backend servers. It merges the updates of all links,
// never applies an older version over a newer one, and continues with its current
// data when it is partitioned. When it has lost every replica it subscribes to
// another entry instance. It stores nothing on disk and holds no state that
// another instance would need.
//
// The packet format is pluggable (PacketFormat), so that the package does not depend
// on the names and layouts of a particular network.
//
// # Usage
//
//	r, err := relay.Start(ctx, relay.Config{Name: "entry-1", Packets: addr, Seeds: seeds, PacketFormat: format, Log: log})
//	ready := r.Ready()      // for the network's readiness probe
//	err = r.Shutdown(ctx)   // reports not ready, keeps forwarding for the grace period
package relay

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"boragepost/core/cold"
	"boragepost/core/config"
	"boragepost/core/flow"
	"boragepost/core/roster"
	"boragepost/io/feed"
	"boragepost/io/links"
	"boragepost/io/proto"
	"boragepost/io/timer"
)

const (
	// receiveBufferBytes is the size of the socket buffer. It holds about 100 ms of
	// traffic at 20,000 packets a second, for when the process is not scheduled.
	receiveBufferBytes = 4 << 20
	maxPacketBytes     = 2048
	// expireInterval is how often expired load data and backend servers are removed.
	expireInterval = time.Second
)

// PacketFormat decodes, encapsulates and resets packets of one network.
type PacketFormat struct {
	// Parse decodes the header of a caller's packet. It returns an error for a
	// malformed packet.
	Parse func(packet []byte) (flow.CookieHeader, error)
	// Encapsulate appends to dst the datagram that carries a packet to a backend
	// server. A cookie other than 0 is written into the packet.
	Encapsulate func(dst, packet []byte, server uint64, cookie flow.Cookie) []byte
	// Reset appends to dst a reset for the caller of a packet, and returns the
	// address to send it to.
	Reset func(dst []byte, h flow.CookieHeader) ([]byte, netip.AddrPort)
	// RequestID returns the identifier of the request that starts in a packet,
	// for the log, or "" when the packet has none. It may be nil.
	RequestID func(packet []byte) string
}

// Config configures an entry instance.
type Config struct {
	Name string
	Zone string
	// Packets is the address for datagrams. Link is the address for links of entry
	// instances that have lost every control replica.
	Packets, Link netip.AddrPort
	// Bind is the address to listen on for links if it differs from Link, for
	// example behind a proxy or address translation. Zero means Link.
	Bind netip.AddrPort
	// Seeds are link addresses of control replicas, from which the others are
	// discovered.
	Seeds        []netip.AddrPort
	PacketFormat PacketFormat
	// Grace is how long packets are still forwarded after Shutdown is called.
	Grace time.Duration
	// LinkBitsPerSecond is the capacity of the instance's outgoing link, or 0 if it is
	// not limited.
	LinkBitsPerSecond float64
	// EvacuationBound is the time within which the evacuation of a zone must be in
	// force, or 0 if zones are not evacuated.
	EvacuationBound time.Duration
	// ColdBound limits the new flows of cold backend servers of services for which the
	// configuration has a limit.
	ColdBound cold.Bound
	// LeaveZone makes new flows leave the availability zone when that pays, by learned
	// waits. Otherwise they leave at a fixed cost.
	LeaveZone bool
	// ZonePrice is how much waiting, in milliseconds, is accepted to save one kilobyte
	// between availability zones. At 0 only time counts.
	ZonePrice float64
	Log       *logrus.Entry
}

// Relay is one running entry instance.
type Relay struct {
	cfg   Config
	log   *logrus.Entry
	conn  *net.UDPConn
	start time.Duration // on the boot clock
	// process identifies this start of the instance in grants for cold backend servers.
	process      uint64
	shuttingDown atomic.Bool
	upstream     upstream
	hub          feed.Hub
	server       *http.Server
	counters     *counters
	flowLog      flowLog
	ctx          context.Context
	cancel       context.CancelFunc
	stopped      sync.WaitGroup

	mu       sync.Mutex // guards the fields below
	balancer flow.CookieBalancer
	spillLog spillLog
	held     []heldPacket
	pause    pause
	scratch  []byte // reused for outgoing datagrams
	link     link
}

// Start listens on the packet and link addresses and runs an instance until ctx
// ends or Shutdown or Close is called.
func Start(ctx context.Context, cfg Config) (*Relay, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.Packets))
	if err != nil {
		return nil, fmt.Errorf("open packet address: %w", err)
	}
	r := &Relay{cfg: cfg, log: cfg.Log.WithField("instance", cfg.Name), conn: conn, start: timer.SinceBoot(), process: rand.Uint64() | 1}
	r.counters = newCounters(r)
	r.flowLog.init(r)
	r.link.init(r)
	if err := conn.SetReadBuffer(receiveBufferBytes); err != nil {
		r.log.WithError(err).Warn("packetBufferNotSet")
	}
	r.balancer.Zone, r.balancer.ColdBound = cfg.Zone, cfg.ColdBound
	r.balancer.Load.FixedCrossing = !cfg.LeaveZone
	r.balancer.Load.ZonePrice = time.Duration(cfg.ZonePrice * float64(time.Millisecond))
	r.balancer.Load.OnResponse = func(took time.Duration) { r.counters.responseSeconds.Observe(took.Seconds()) }
	r.pause.init(cfg.EvacuationBound)
	r.ctx, r.cancel = context.WithCancel(ctx)
	if err := r.serveFeed(); err != nil {
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
	r.link.startSender()
	r.log.WithField("packets", cfg.Packets).WithField("seeds", cfg.Seeds).Info("entryStarted")
	return r, nil
}

// serveFeed serves the instance's configuration and backend servers to other entry
// instances.
func (r *Relay) serveFeed() error {
	r.hub.AllServers = func() []roster.Server {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.balancer.Servers(r.now())
	}
	r.hub.Digest = func() uint64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.balancer.Digest()
	}
	r.hub.Differing = func(digests []uint64) []roster.Server {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.balancer.Differing(r.now(), digests)
	}
	r.hub.Warming = func() []roster.Server {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.balancer.Warming(r.now())
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

// Address returns the address for datagrams, with the port that the system chose
// if it was configured as 0.
func (r *Relay) Address() netip.AddrPort { return r.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Ready reports whether the instance accepts new flows: it can route them and is
// not shutting down.
func (r *Relay) Ready() bool {
	if r.shuttingDown.Load() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.balancer.Ready()
}

// Shutdown makes Ready report false, keeps forwarding for the grace period so that
// the network can drain the instance, and stops it.
func (r *Relay) Shutdown(ctx context.Context) error {
	r.shuttingDown.Store(true)
	r.log.WithField("grace", r.cfg.Grace).Info("shutdownStarted")
	timer.Sleep(ctx, r.cfg.Grace)
	r.link.flush()
	r.Close()
	r.log.Info("shutdownFinished")
	return nil
}

// Close stops the instance without a grace period.
func (r *Relay) Close() {
	r.cancel()
	r.conn.Close()
	r.server.Close()
	r.stopped.Wait()
	r.link.discard()
	r.discardHeld()
}

// now returns the time on the boot clock, which includes the time for which the machine
// was suspended: limits on rates and the ends of grants must not be late by that.
func (r *Relay) now() time.Duration { return timer.SinceBoot() - r.start }

// tick does the periodic work until the instance stops: it retries held packets,
// removes expired state and reports failed requests.
func (r *Relay) tick() {
	ticker := time.NewTicker(retryInterval)
	defer ticker.Stop()
	expiredAt := r.now()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		}
		r.mu.Lock()
		now := r.now()
		r.detectPause()
		r.retryHeld(now)
		r.flowLog.logSkipped(now)
		if now-expiredAt >= expireInterval {
			expiredAt = now
			r.balancer.Load.Expire(now, r.idleTimeout())
			r.balancer.Expire(now)
			r.link.expire(now)
			r.logLeaving(now)
		}
		r.balancer.Load.DetectStuckRequests(now)
		failures := r.balancer.Load.TakeFailures()
		r.mu.Unlock()
		// The network takes the flows from an instance that shuts down, so their requests
		// seem stuck.
		if len(failures) > 0 && !r.shuttingDown.Load() {
			r.upstream.reportFailures(failures)
		}
	}
}

func (r *Relay) idleTimeout() time.Duration {
	if c, ok := r.balancer.Config(); ok && c.IdleTimeout > 0 {
		return c.IdleTimeout
	}
	return config.DefaultIdleTimeout
}
