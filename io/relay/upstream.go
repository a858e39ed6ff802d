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

	"boragepost/core/config"
	"boragepost/core/load"
	"boragepost/io/links"
	"boragepost/io/proto"
	"boragepost/io/timer"
)

const (
	// maxLinks is the number of replicas that an instance subscribes to. When two
	// of them fail or are partitioned, the third still delivers updates.
	maxLinks = 3
	// maintainInterval is how often links are checked and replaced.
	maintainInterval = 500 * time.Millisecond
	// unusableTimeout is how long a link may be down, or lead to a replica without
	// contact with the leader, before it is replaced. It leaves half of 3 s, the
	// shortest deadline for a change to come into force.
	unusableTimeout = 1200 * time.Millisecond
	// initialSyncTimeout is how long the other links wait for the initial sync of
	// the first one. It equals the time in which a silent link is detected.
	initialSyncTimeout = 3 * proto.LinkHeartbeat
)

type replicaConn = links.Conn[proto.ToFeed, proto.Update]

// upstream keeps links to a few control replicas and, while none of these links is
// usable, to another entry instance.
type upstream struct {
	r                *Relay
	mu               sync.Mutex
	seeds            []string
	replicaAddresses []string                // addresses of replicas, seeds included
	peerAddresses    []string                // addresses of entry instances
	links            map[string]*replicaLink // to replicas, by address
	peer             *replicaLink            // to an entry instance; nil while a link to a replica is usable
	usableAt         time.Duration           // when a link to a replica was last usable
	syncedAt         atomic.Int64            // time of the first configuration; far in the future before it
	// first is the link that transfers the complete state after a start. The others
	// subscribe once initialSync is closed, so that the state is not transferred on
	// each of them.
	first           *replicaLink
	initialSync     chan struct{}
	initialSyncOnce sync.Once
}

// replicaLink is a link to a replica, or to the entry instance that is used while no
// link to a replica is usable.
type replicaLink struct {
	address       string
	client        *links.Client[proto.ToFeed, proto.Update]
	close         context.CancelFunc
	up            bool
	contact       bool
	unusableSince time.Duration // since when it is down or without contact
	// config is the last configuration received on this link, the base of the next
	// delta on it. Another link may have delivered a newer one. It is set before the
	// link subscribes; after that only the link's receiving goroutine uses it.
	config config.Configuration
}

func (u *upstream) init(r *Relay) {
	u.r = r
	u.links = map[string]*replicaLink{}
	u.initialSync = make(chan struct{})
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
	u.replicaAddresses = union(u.seeds, u.replicaAddresses)
}

// linkedReplicas returns the number of replicas whose link is up.
func (u *upstream) linkedReplicas() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, l := range u.links {
		if l.up {
			n++
		}
	}
	return n
}

// union returns the sorted union of two lists of addresses.
func union(a, b []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(slices.Concat(a, b))))
}

// maintain closes at most one link that has been unusable for too long, and opens
// links to other replicas up to maxLinks.
func (u *upstream) maintain() {
	u.mu.Lock()
	defer u.mu.Unlock()
	var spare []string
	for _, a := range u.replicaAddresses {
		if u.links[a] == nil {
			spare = append(spare, a)
		}
	}
	rand.Shuffle(len(spare), func(i, j int) { spare[i], spare[j] = spare[j], spare[i] })
	if worst := u.longestUnusable(); worst != nil && len(spare) > 0 {
		worst.close()
		delete(u.links, worst.address)
	}
	for len(u.links) < maxLinks && len(spare) > 0 {
		u.links[spare[0]] = u.open(spare[0])
		spare = spare[1:]
	}
	u.maintainPeer()
}

// maintainPeer keeps a link to another entry instance while no replica's link is
// usable, and replaces it when it is unusable as well.
func (u *upstream) maintainPeer() {
	now := u.r.now()
	usable := false
	for _, l := range u.links {
		usable = usable || l.up && l.contact
	}
	if usable {
		u.usableAt = now
	}
	u.r.hub.SetContact(usable)
	if u.peer != nil && (usable || u.peer.isUnusable(now)) {
		u.peer.close()
		u.peer = nil
	}
	if u.peer == nil && now-u.usableAt >= unusableTimeout && len(u.peerAddresses) > 0 {
		u.peer = u.open(u.peerAddresses[rand.IntN(len(u.peerAddresses))])
	}
}

// isUnusable reports whether a link has been down or without contact for at least
// unusableTimeout.
func (l *replicaLink) isUnusable(now time.Duration) bool {
	return !(l.up && l.contact) && now-l.unusableSince >= unusableTimeout
}

// longestUnusable returns the link that has been unusable for longest, or nil when
// none has been for unusableTimeout.
func (u *upstream) longestUnusable() *replicaLink {
	var worst *replicaLink
	for _, l := range u.links {
		if !l.isUnusable(u.r.now()) {
			continue
		}
		if worst == nil || l.unusableSince < worst.unusableSince {
			worst = l
		}
	}
	return worst
}

func (u *upstream) open(address string) *replicaLink {
	l := &replicaLink{address: address, unusableSince: u.r.now()}
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
	u.mu.Lock()
	l.up, l.unusableSince = true, u.r.now()
	u.mu.Unlock()
	go u.subscribe(l, c)
}

// subscribe requests updates on a link. All links but the first wait for the
// initial sync.
func (u *upstream) subscribe(l *replicaLink, c *replicaConn) {
	if !u.isFirst(l) {
		u.awaitInitialSync(c)
	}
	u.r.mu.Lock()
	current, _ := u.r.balancer.Config()
	digest := u.r.balancer.Digest()
	u.r.mu.Unlock()
	u.mu.Lock()
	l.config, l.unusableSince = current, u.r.now()
	u.mu.Unlock()
	c.Send(proto.ToFeed{Subscribe: &proto.Subscribe{Instance: u.r.cfg.Name, Zone: u.r.cfg.Zone,
		Version: current.Version, Address: u.r.cfg.Link.String(), Digest: digest}})
	u.r.log.WithField("replica", l.address).WithField("version", current.Version).Info("replicaFollowed")
}

// isFirst reports whether l is the first link that was opened.
func (u *upstream) isFirst(l *replicaLink) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.first == nil {
		u.first = l
	}
	return u.first == l
}

// awaitInitialSync waits until the first link has completed or abandoned the
// initial sync, the timeout expires, or c ends.
func (u *upstream) awaitInitialSync(c *replicaConn) {
	timeout := time.NewTimer(initialSyncTimeout)
	defer timeout.Stop()
	select {
	case <-u.initialSync:
	case <-timeout.C:
	case <-c.Done():
	}
}

// finishInitialSync lets the other links subscribe.
func (u *upstream) finishInitialSync() { u.initialSyncOnce.Do(func() { close(u.initialSync) }) }

// checkInitialSync finishes the initial sync if an update on the first link shows
// that it is complete or that the replica has no configuration yet.
func (u *upstream) checkInitialSync(l *replicaLink, m proto.Update, configured bool) {
	u.mu.Lock()
	first := u.first == l
	u.mu.Unlock()
	if first && (!configured || len(m.Servers) > 0) {
		u.finishInitialSync()
	}
}

func (u *upstream) closed(l *replicaLink) {
	u.r.log.WithField("replica", l.address).Warn("replicaLost")
	u.mu.Lock()
	defer u.mu.Unlock()
	l.up, l.contact, l.unusableSince = false, false, u.r.now()
	if u.first == l {
		u.finishInitialSync()
	}
}

// reportFailures sends observed request failures to one replica.
func (u *upstream) reportFailures(failures []load.Failures) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, l := range u.links {
		if l.up && l.contact && l.client.Send(proto.ToFeed{Failures: failures}) {
			return
		}
	}
}

func (u *upstream) received(l *replicaLink, m proto.Update) {
	u.updateAddresses(l, m)
	u.r.applyUpdate(l, m)
}

// updateAddresses records the addresses in an update, and whether its sender is in
// contact with the leader.
func (u *upstream) updateAddresses(l *replicaLink, m proto.Update) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if m.Contact != nil {
		l.contact, l.unusableSince = *m.Contact, u.r.now()
	}
	if len(m.Replicas) > 0 {
		u.replicaAddresses = union(u.seeds, m.Replicas)
		u.r.hub.SetReplicas(m.Replicas)
	}
	if len(m.Peers) > 0 {
		u.peerAddresses = m.Peers
	}
}

// applyUpdate applies the configuration, backend servers and ejections in an
// update, and passes changes on to the instance's own subscribers.
func (r *Relay) applyUpdate(l *replicaLink, m proto.Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if m.Config != nil {
		r.applyDelta(l, m)
	}
	if len(m.Servers) > 0 {
		changed := r.balancer.UpdateServers(now, m.Servers)
		r.flowLog.logServers(l.address, changed)
		r.hub.PublishServers(changed)
	}
	for _, e := range m.Ejections {
		r.balancer.Load.Eject(now, e)
		r.flowLog.logEjection(l.address, e)
	}
	_, configured := r.balancer.Config()
	if configured && int64(now) < r.upstream.syncedAt.Load() {
		r.upstream.syncedAt.Store(int64(now))
	}
	r.upstream.checkInitialSync(l, m, configured)
	r.retryHeld(now)
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
		log.WithField("former", previous.Version).WithField("routes", len(next.Routes)).Info("configurationInForce")
	}
}
