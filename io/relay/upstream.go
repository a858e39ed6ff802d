package relay

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"boragepost/core/cold"
	"boragepost/core/config"
	"boragepost/core/load"
	"boragepost/core/source"
	"boragepost/io/links"
	"boragepost/io/proto"
	"boragepost/io/timer"
)

const (
	// maintainInterval is how often links are checked and replaced, besides after each
	// change of a link.
	maintainInterval = 250 * time.Millisecond
	// peerDelay is how long an instance waits for a usable replica before it
	// subscribes to another entry instance. It leaves half of 3 s, the shortest
	// deadline for a change to come into force.
	peerDelay = 1200 * time.Millisecond
)

type replicaConn = links.Conn[proto.ToFeed, proto.Update]

// upstream keeps the links that its selector chooses to control replicas and, while
// none of these links is usable, one to another entry instance.
type upstream struct {
	r             *Relay
	mu            sync.Mutex
	selector      source.Selector
	seeds         []string
	replicas      []string                // addresses that the sources have named
	peerAddresses []string                // addresses of entry instances
	links         map[string]*replicaLink // to replicas, by address
	active        string                  // address of the active source
	peer          *replicaLink            // to an entry instance; nil while a link to a replica is usable
	usableAt      time.Duration           // when a link to a replica was last usable
	syncedAt      atomic.Int64            // time of the first configuration; far in the future before it
}

// replicaLink is a link to a replica, or to the entry instance that is used while no
// link to a replica is usable.
type replicaLink struct {
	address string
	client  *links.Client[proto.ToFeed, proto.Update]
	close   context.CancelFunc

	// The following fields are guarded by upstream.mu.
	conn          *replicaConn // nil while the link is down
	mode          linkMode
	contact       bool          // of a link to an entry instance
	unusableSince time.Duration // of a link to an entry instance

	// config is the last configuration received on this link, the base of the next
	// delta on it. Another link may have delivered a newer one. Relay.mu guards it.
	config config.Configuration
	// pauses is the number of pauses before the connection was opened. Relay.mu guards
	// it.
	pauses uint64
}

// linkMode is the subscription that was sent on a link.
type linkMode uint8

const (
	unsubscribed linkMode = iota
	standby
	active
)

func (u *upstream) init(r *Relay) {
	u.r = r
	u.links = map[string]*replicaLink{}
	u.selector.Zone, u.selector.Rand = r.cfg.Zone, rand.IntN
	u.syncedAt.Store(int64(1<<62 - 1))
	r.SetSeeds(r.cfg.Seeds)
	u.maintain()
	r.stopped.Add(1)
	go func() {
		defer r.stopped.Done()
		for r.ctx.Err() == nil {
			timer.Sleep(r.ctx, maintainInterval)
			u.maintain()
		}
	}()
}

// SetSeeds replaces the addresses from which control replicas are discovered.
// Links to replicas that are already known stay.
func (r *Relay) SetSeeds(seeds []netip.AddrPort) {
	u := &r.upstream
	u.mu.Lock()
	defer u.mu.Unlock()
	u.seeds = nil
	for _, s := range seeds {
		u.seeds = append(u.seeds, s.String())
	}
	u.selector.SetKnown(union(u.seeds, u.replicas))
}

// linkedReplicas returns the number of replicas whose link is up.
func (u *upstream) linkedReplicas() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.selector.LinksUp()
}

// union returns the sorted union of two lists of addresses.
func union(a, b []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(slices.Concat(a, b))))
}

// maintain carries out the selector's decision on the links to replicas, and keeps a
// link to another entry instance while none of them is usable.
func (u *upstream) maintain() {
	u.r.mu.Lock()
	defer u.r.mu.Unlock()
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.r.now()
	current, _ := u.r.balancer.Config()
	actions := u.selector.Step(now, current.Version)
	for _, a := range actions.Close {
		u.links[a].close()
		delete(u.links, a)
	}
	for _, a := range actions.Open {
		u.links[a] = u.open(a)
	}
	u.setActive(actions.Active)
	u.maintainPeer(now)
}

// setActive subscribes to the active source, and makes the other links standbys.
func (u *upstream) setActive(address string) {
	if address != u.active {
		u.r.log.WithField("replica", address).WithField("former", u.active).Info("sourceChanged")
		u.r.counters.sourceChanges.Inc()
		u.active = address
	}
	for a, l := range u.links {
		mode := standby
		if a == address {
			mode = active
		}
		u.subscribe(l, mode)
	}
}

// subscribe sends a subscription on a link that is up, unless it was sent before.
// Relay.mu and u.mu must be held.
func (u *upstream) subscribe(l *replicaLink, mode linkMode) {
	if l.conn == nil || l.mode == mode {
		return
	}
	l.mode = mode
	request := proto.Subscribe{Instance: u.r.cfg.Name, Zone: u.r.cfg.Zone, Address: u.r.cfg.Link.String(),
		Standby: mode == standby, Compression: true, Process: u.r.process}
	if mode == active {
		l.config, _ = u.r.balancer.Config()
		request.Version, request.Digest = l.config.Version, u.r.balancer.Digest()
		if u.r.balancer.ServerCount() > 0 {
			request.Digests = u.r.balancer.BucketDigests()
		}
		u.r.log.WithField("replica", l.address).WithField("version", request.Version).Info("replicaFollowed")
	}
	l.conn.Send(proto.ToFeed{Subscribe: &request})
}

// maintainPeer keeps a link to another entry instance while no replica's link is
// usable, and replaces it when it is unusable as well.
func (u *upstream) maintainPeer(now time.Duration) {
	usable := u.selector.Usable()
	if usable {
		u.usableAt = now
	}
	u.r.hub.SetContact(usable)
	if u.peer != nil && (usable || u.peer.isUnusable(now)) {
		u.peer.close()
		u.peer = nil
	}
	if u.peer == nil && now-u.usableAt >= peerDelay && len(u.peerAddresses) > 0 {
		u.peer = u.open(u.peerAddresses[rand.IntN(len(u.peerAddresses))])
		u.peer.unusableSince = now
	}
}

// isUnusable reports whether a link to an entry instance has been down or without
// contact for at least peerDelay.
func (l *replicaLink) isUnusable(now time.Duration) bool {
	return !(l.conn != nil && l.contact) && now-l.unusableSince >= peerDelay
}

func (u *upstream) open(address string) *replicaLink {
	l := &replicaLink{address: address}
	ctx, cancel := context.WithCancel(u.r.ctx)
	l.close = cancel
	l.client = links.NewClient(ctx, address, proto.RelayPath, links.Options[proto.ToFeed, proto.Update]{
		Heartbeat: proto.LinkHeartbeat,
		Meter:     &u.r.counters.meter,
		Opened:    func(c *replicaConn) { u.opened(l, c) },
		Closed:    func() { u.closed(l) },
		Received:  func(m proto.Update) { u.received(l, m) },
	})
	return l
}

func (u *upstream) opened(l *replicaLink, c *replicaConn) {
	u.r.log.WithField("replica", l.address).Info("replicaFound")
	u.r.mu.Lock()
	u.r.detectPause()
	l.pauses = u.r.pause.count
	u.r.mu.Unlock()
	u.setConn(l, c)
	if u.isPeer(l) {
		u.r.mu.Lock()
		defer u.r.mu.Unlock()
		u.mu.Lock()
		defer u.mu.Unlock()
		u.subscribe(l, active)
		return
	}
	u.maintain()
}

func (u *upstream) closed(l *replicaLink) {
	u.r.log.WithField("replica", l.address).Warn("replicaLost")
	u.setConn(l, nil)
	u.maintain()
}

// reconnect closes the connections of all links, which are then dialled again. Relay.mu
// must be held.
func (u *upstream) reconnect() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, l := range u.links {
		l.client.Reconnect()
	}
	if u.peer != nil {
		u.peer.client.Reconnect()
	}
}

// setConn records that a link is up on a connection, or down if it is nil.
func (u *upstream) setConn(l *replicaLink, c *replicaConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.r.now()
	l.conn, l.mode, l.contact, l.unusableSince = c, unsubscribed, false, now
	switch {
	case u.links[l.address] != l: // a link to an entry instance, or one that was closed
	case c != nil:
		u.selector.Connected(now, l.address)
	default:
		u.selector.Disconnected(now, l.address)
	}
}

// isPeer reports whether a link leads to another entry instance.
func (u *upstream) isPeer(l *replicaLink) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.peer == l
}

// reportFailures sends observed request failures to the active source.
func (u *upstream) reportFailures(failures []load.Failures) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if l := u.links[u.active]; l != nil && l.conn != nil {
		l.conn.Send(proto.ToFeed{Failures: failures})
	}
}

func (u *upstream) received(l *replicaLink, received proto.Update) {
	m, err := received.Expand()
	if err != nil {
		u.r.log.WithError(err).WithField("replica", l.address).Warn("updateNotDecoded")
		l.client.Reconnect() // a new connection starts with the complete state
		return
	}
	if u.updateSource(l, m) {
		u.maintain()
	}
	u.r.applyUpdate(l, m)
}

// updateSource records the addresses in an update, and what it says about its sender. It
// reports whether that may change the selection of the source.
func (u *upstream) updateSource(l *replicaLink, m proto.Update) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.r.now()
	if m.Contact != nil {
		l.contact, l.unusableSince = *m.Contact, now
	}
	if u.links[l.address] == l {
		if m.Contact != nil {
			u.selector.ReportContact(now, l.address, *m.Contact)
		}
		u.selector.ReportVersion(now, l.address, m.Version)
	}
	if len(m.Replicas) > 0 {
		u.replicas = m.Replicas
		u.selector.SetKnown(union(u.seeds, u.replicas))
		u.r.hub.SetReplicas(m.Replicas)
	}
	if len(m.ReplicaZones) > 0 {
		u.selector.SetZones(m.ReplicaZones)
		u.r.hub.SetReplicaZones(m.ReplicaZones)
	}
	if len(m.Peers) > 0 {
		u.peerAddresses = m.Peers
	}
	return m.Contact != nil || len(m.Replicas) > 0 || len(m.ReplicaZones) > 0
}

// applyUpdate applies the evacuations, configuration, backend servers and ejections in an
// update, and passes changes on to the instance's own subscribers.
func (r *Relay) applyUpdate(l *replicaLink, m proto.Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if m.Evacuations != nil {
		r.applyEvacuations(now, l, *m.Evacuations)
	}
	if m.Contact != nil && *m.Contact && l.pauses == r.pause.count {
		r.pause.catchUpEnds = 0 // the first update on a connection contains the evacuations
	}
	if m.Config != nil {
		r.applyDelta(l, m)
	}
	if len(m.Servers) > 0 {
		initial := r.balancer.ServerCount() == 0
		changed := r.balancer.UpdateServers(now, m.Servers)
		r.flowLog.logServers(l.address, changed, initial)
		r.hub.PublishServers(changed)
	}
	for _, e := range m.Ejections {
		r.balancer.Load.Eject(now, e)
		r.flowLog.logEjection(l.address, e)
	}
	r.acceptGrants(l, now, m.ColdGrants)
	if _, configured := r.balancer.Config(); configured && int64(now) < r.upstream.syncedAt.Load() {
		r.upstream.syncedAt.Store(int64(now))
	}
	r.retryHeld(now)
}

// acceptGrants takes over the grants for this instance. Those that may have waited here
// while the process was paused are discarded: their remaining times are as of when they
// were made.
func (r *Relay) acceptGrants(l *replicaLink, now time.Duration, grants []cold.Grant) {
	if len(grants) == 0 {
		return
	}
	r.detectPause()
	old := r.pause.grantsOld()
	for _, g := range grants {
		if g.Instance != r.process {
			continue
		}
		if !old {
			r.balancer.AcceptGrant(now, g)
		}
		r.flowLog.logGrant(l.address, g, !old)
	}
}

func (r *Relay) applyDelta(l *replicaLink, m proto.Update) {
	log := r.log.WithFields(logrus.Fields{"replica": l.address, "from": m.Config.FromVersion, "version": m.Config.ToVersion})
	next, err := l.config.WithDelta(*m.Config)
	if err != nil {
		log.WithError(err).Warn("deltaNotApplied")
		l.client.Reconnect() // a new connection starts with the complete configuration
		return
	}
	l.config = next
	previous, _ := r.balancer.Config()
	if r.balancer.Configure(r.now(), next) {
		r.hub.Configure(next)
		r.link.configure(next)
		log.WithField("former", previous.Version).WithField("routes", len(next.Routes)).Info("configurationInForce")
	}
}

// applyEvacuations applies a set of evacuated zones unless a newer one was received from
// any source, and passes it on.
func (r *Relay) applyEvacuations(now time.Duration, l *replicaLink, e config.Evacuations) {
	former := r.balancer.Evacuations()
	if e.Revision <= former.Revision {
		return
	}
	ended := r.balancer.SetEvacuations(now, e)
	for _, zone := range ended {
		r.balancer.TreatAsCold(now, zone)
	}
	r.hub.SetEvacuations(e)
	r.counters.evacuated.Set(e.Zones)
	r.log.WithFields(logrus.Fields{"replica": l.address, "revision": e.Revision, "former": former.Revision,
		"zones": e.Zones, "ended": ended}).Info("evacuationInForce")
}
