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
	// maxLinks is the number of replicas that an instance follows: with two that
	// are lost or cut off, a third still tells what is new.
	maxLinks = 3
	// reviewInterval is how often links are replaced.
	reviewInterval = 500 * time.Millisecond
	// patience is how long a link may be without use, down or to a replica
	// without contact to the leader, before another replica is tried. It leaves
	// half of the shortest time in which a change must be in force, 3 s.
	patience = 1200 * time.Millisecond
	// wholeTimeout is how long the other links wait for the first one to bring the
	// whole: as long as a silent link takes to be noticed.
	wholeTimeout = 3 * proto.LinkHeartbeat
)

type replicaConn = links.Conn[proto.ToFeed, proto.Update]

// upstream keeps links to a few of the control replicas that are known and, while
// none of them is of use, to another entry instance.
type upstream struct {
	r             *Relay
	mu            sync.Mutex
	seeds         []string
	known         []string // addresses of replicas, seeds included
	peerAddresses []string // addresses of entry instances
	links         map[string]*replicaLink
	peer          *replicaLink // nil while a replica is of use
	usefulAt      time.Duration
	syncedAt      atomic.Int64 // when the first update came; far ahead before it
	// first is the link that brings the whole after a start. The others subscribe
	// once whole is closed, so that they do not bring everything once more.
	first       *replicaLink
	whole       chan struct{}
	releaseOnce sync.Once
}

// replicaLink is one followed replica, or the entry instance in its place.
type replicaLink struct {
	address   string
	client    *links.Client[proto.ToFeed, proto.Update]
	close     context.CancelFunc
	up        bool
	contact   bool
	uselessAt time.Duration // since when it is down or without contact
	// config is the configuration that the replica last sent on this link, which
	// its next delta starts from. Another link may have brought a newer one. It
	// belongs to the link's goroutine.
	config config.Configuration
}

func (u *upstream) init(r *Relay) {
	u.r = r
	u.links = map[string]*replicaLink{}
	u.whole = make(chan struct{})
	u.syncedAt.Store(int64(1<<62 - 1))
	r.SetSeeds(r.cfg.Seeds)
	u.review()
	r.stopped.Add(1)
	go func() {
		defer r.stopped.Done()
		for r.ctx.Err() == nil {
			timer.Sleep(r.ctx, reviewInterval)
			u.review()
		}
	}()
}

// SetSeeds adds addresses from which control replicas are found.
func (r *Relay) SetSeeds(seeds []netip.AddrPort) {
	u := &r.upstream
	u.mu.Lock()
	defer u.mu.Unlock()
	u.seeds = nil
	for _, s := range seeds {
		u.seeds = append(u.seeds, s.String())
	}
	u.known = union(u.seeds, u.known)
}

// linked returns the number of replicas that are linked.
func (u *upstream) linked() int {
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

// union returns the addresses of both lists, each once.
func union(a, b []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(slices.Concat(a, b))))
}

// review replaces one link that has been useless for too long by one to another
// replica, and opens links while there are too few.
func (u *upstream) review() {
	u.mu.Lock()
	defer u.mu.Unlock()
	var spare []string
	for _, a := range u.known {
		if u.links[a] == nil {
			spare = append(spare, a)
		}
	}
	rand.Shuffle(len(spare), func(i, j int) { spare[i], spare[j] = spare[j], spare[i] })
	if worst := u.useless(); worst != nil && len(spare) > 0 {
		worst.close()
		delete(u.links, worst.address)
	}
	for len(u.links) < maxLinks && len(spare) > 0 {
		u.links[spare[0]] = u.open(spare[0])
		spare = spare[1:]
	}
	u.maintainPeer()
}

// maintainPeer follows another entry instance while no replica is of use, and
// changes it when it is of no use either.
func (u *upstream) maintainPeer() {
	now := u.r.now()
	useful := false
	for _, l := range u.links {
		useful = useful || l.up && l.contact
	}
	if useful {
		u.usefulAt = now
	}
	u.r.hub.SetContact(useful)
	if u.peer != nil && (useful || u.peer.isUseless(now)) {
		u.peer.close()
		u.peer = nil
	}
	if u.peer == nil && now-u.usefulAt >= patience && len(u.peerAddresses) > 0 {
		u.peer = u.open(u.peerAddresses[rand.IntN(len(u.peerAddresses))])
	}
}

// isUseless reports whether a link has been down or out of date for too long.
func (l *replicaLink) isUseless(now time.Duration) bool {
	return !(l.up && l.contact) && now-l.uselessAt >= patience
}

// useless returns the link that has been useless for longest, and for longer than
// patience, or nil.
func (u *upstream) useless() *replicaLink {
	var worst *replicaLink
	for _, l := range u.links {
		if !l.isUseless(u.r.now()) {
			continue
		}
		if worst == nil || l.uselessAt < worst.uselessAt {
			worst = l
		}
	}
	return worst
}

func (u *upstream) open(address string) *replicaLink {
	l := &replicaLink{address: address, uselessAt: u.r.now()}
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
	l.up, l.uselessAt = true, u.r.now()
	u.mu.Unlock()
	go u.subscribe(l, c)
}

// subscribe asks a link for what is new, when it is its turn.
func (u *upstream) subscribe(l *replicaLink, c *replicaConn) {
	if !u.isFirst(l) {
		u.awaitWhole(c)
	}
	u.r.mu.Lock()
	held, _ := u.r.balancer.Config()
	digest := u.r.balancer.Digest()
	u.r.mu.Unlock()
	u.mu.Lock()
	l.config, l.uselessAt = held, u.r.now()
	u.mu.Unlock()
	c.Send(proto.ToFeed{Subscribe: &proto.Subscribe{Instance: u.r.cfg.Name, Zone: u.r.cfg.Zone,
		Version: held.Version, Address: u.r.cfg.Link.String(), Digest: digest}})
	u.r.log.WithField("replica", l.address).WithField("version", held.Version).Info("replicaFollowed")
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

// awaitWhole waits until the first link has brought the whole, or is not going to.
func (u *upstream) awaitWhole(c *replicaConn) {
	timeout := time.NewTimer(wholeTimeout)
	defer timeout.Stop()
	select {
	case <-u.whole:
	case <-timeout.C:
	case <-c.Done():
	}
}

// release lets the other links subscribe.
func (u *upstream) release() { u.releaseOnce.Do(func() { close(u.whole) }) }

// releaseAfter lets them subscribe if an update shows that the first link has brought
// the whole, or that its replica knows nothing yet.
func (u *upstream) releaseAfter(l *replicaLink, m proto.Update, configured bool) {
	u.mu.Lock()
	first := u.first == l
	u.mu.Unlock()
	if first && (!configured || len(m.Servers) > 0) {
		u.release()
	}
}

func (u *upstream) closed(l *replicaLink) {
	u.r.log.WithField("replica", l.address).Warn("replicaLost")
	u.mu.Lock()
	defer u.mu.Unlock()
	l.up, l.contact, l.uselessAt = false, false, u.r.now()
	if u.first == l {
		u.release()
	}
}

// report tells one replica of the failed requests that were seen.
func (u *upstream) report(seen []load.Failures) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, l := range u.links {
		if l.up && l.contact && l.client.Send(proto.ToFeed{Failures: seen}) {
			return
		}
	}
}

func (u *upstream) received(l *replicaLink, m proto.Update) {
	u.note(l, m)
	u.r.learn(l, m)
}

// note takes in what an update says of the replicas.
func (u *upstream) note(l *replicaLink, m proto.Update) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if m.Contact != nil {
		l.contact, l.uselessAt = *m.Contact, u.r.now()
	}
	if len(m.Replicas) > 0 {
		u.known = union(u.seeds, m.Replicas)
		u.r.hub.SetReplicas(m.Replicas)
	}
	if len(m.Peers) > 0 {
		u.peerAddresses = m.Peers
	}
}

// learn takes in an update of the configuration and the backend servers.
func (r *Relay) learn(l *replicaLink, m proto.Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if m.Config != nil {
		r.configure(l, m)
	}
	if len(m.Servers) > 0 {
		changed := r.balancer.UpdateServers(now, m.Servers)
		r.trace.learned(l.address, changed)
		r.hub.PublishServers(changed)
	}
	for _, e := range m.Ejections {
		r.balancer.Load.Eject(now, e)
		r.trace.ejected(l.address, e)
	}
	_, configured := r.balancer.Config()
	if configured && int64(now) < r.upstream.syncedAt.Load() {
		r.upstream.syncedAt.Store(int64(now))
	}
	r.upstream.releaseAfter(l, m, configured)
	r.retryHeld(now)
}

func (r *Relay) configure(l *replicaLink, m proto.Update) {
	log := r.log.WithFields(logrus.Fields{"replica": l.address, "from": m.Config.FromVersion, "version": m.Config.ToVersion})
	next, err := l.config.WithDelta(*m.Config)
	if err != nil {
		log.WithError(err).Warn("deltaNotApplied")
		l.client.Reconnect() // a new link starts from the whole
		return
	}
	l.config = next
	former, _ := r.balancer.Config()
	if r.balancer.Configure(r.now(), next) {
		r.hub.Configure(next)
		log.WithField("former", former.Version).WithField("routes", len(next.Routes)).Info("configurationInForce")
	}
}
