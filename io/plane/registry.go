package plane

import (
	"context"
	"slices"
	"sync"
	"time"

	"boragepost/core/quorum"
	"boragepost/core/roster"
	"boragepost/io/feed"
	"boragepost/io/logs"
	"boragepost/io/proto"
)

// registry holds the roster, publishes changes to entry instances through its hub,
// and exchanges them with the other replicas. It never waits for the event loop. Only
// the announcement of a leaving backend server waits for the disk and the other
// replicas, and does not hold mu meanwhile.
type registry struct {
	r            *Replica
	mu           sync.Mutex
	roster       roster.Roster
	hub          feed.Hub
	voters       []string
	contactSince time.Duration // start of the present period of contact with the others
	serial       uint64        // of the latest records to acknowledge, counted from proto.FirstID
	ackWaits     map[uint64]*ackWait
	// confirmed holds the latest departure of each backend server that a majority of
	// the voters is known to have on disk.
	confirmed map[uint64]departure
	journal   journal
	save      chan struct{} // holds one element while a checkpoint is due at once
	batcher   feed.Batcher  // of records for the other replicas
	// zones holds the availability zones of the replicas by address.
	zones map[string]string
	// queriedAt is when each replica was last sent a RosterQuery.
	queriedAt map[string]time.Duration
}

// departure is a phase other than Ready of one start of a backend server.
type departure struct {
	incarnation uint64
	phase       roster.Phase
}

// covers reports whether d shows that s was recorded.
func (d departure) covers(s roster.Server) bool {
	return d.incarnation == s.Incarnation && d.phase >= s.Phase
}

// ackWait counts the voters that have a change on disk.
type ackWait struct {
	ackedBy map[string]bool
	done    chan struct{} // closed when need voters have acknowledged
	need    int
}

const (
	// gossipInterval is how often heartbeats are exchanged and silent backend
	// servers are detected.
	gossipInterval = 500 * time.Millisecond
	// ackTimeout is how long an announcement waits for other replicas. It is well
	// below the one-second timeout of the backend server.
	ackTimeout = 600 * time.Millisecond
)

func (g *registry) init(r *Replica) {
	g.r = r
	g.save = make(chan struct{}, 1)
	g.hub.AllServers, g.hub.Digest, g.hub.Differing, g.hub.Log = g.all, g.digest, g.differing, r.log
	g.hub.Warming = g.warming
	g.hub.OnFailures = r.outliers.report
	g.hub.Configure(r.state.Configuration)
	g.hub.SetEvacuations(r.state.Evacuations)
	g.serial = proto.FirstID()
	g.ackWaits = map[uint64]*ackWait{}
	g.confirmed = map[uint64]departure{}
	g.queriedAt = map[string]time.Duration{}
	g.zones = map[string]string{}
	g.setZone(r.id, r.cfg.Zone)
	g.restoreCheckpoint()
}

// Announce records a backend server's announcement. It returns nil when the backend
// server may rely on it: this replica is in contact with a quorum and, if the
// backend server leaves, a majority of the voters has that on disk. On an error the
// announcement is recorded nevertheless.
func (r *Replica) Announce(ctx context.Context, s roster.Server) error {
	start := r.now()
	err := r.announce(ctx, s)
	r.counters.announcements.WithLabelValues(outcome(err)).Inc()
	r.counters.announceSeconds.Observe((r.now() - start).Seconds())
	return err
}

func (r *Replica) announce(ctx context.Context, s roster.Server) error {
	g := &r.registry
	g.mu.Lock()
	changed := g.roster.RecordAnnouncement(r.now(), s)
	g.logChanges("announcement", changed)
	leaving := s.Phase != roster.Ready && !g.confirmed[s.ID].covers(s)
	if leaving && len(changed) == 0 {
		changed = []roster.Server{s} // repeated, because some replicas may have missed it
	}
	c := g.publish(changed, leaving)
	g.mu.Unlock()
	if !r.InContact() {
		return ErrNoQuorum
	}
	if !leaving {
		return nil
	}
	if err := g.awaitAcks(ctx, c); err != nil {
		return err
	}
	g.confirm(s)
	return nil
}

// confirm records that a majority of the voters has a departure on disk, so that its
// repeated announcements need no acknowledgements.
func (g *registry) confirm(s roster.Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.confirmed) > maxAckWaits {
		clear(g.confirmed) // at worst, acknowledgements are requested again
	}
	g.confirmed[s.ID] = departure{incarnation: s.Incarnation, phase: s.Phase}
}

// Deregister records that a backend server is gone. A call for an unknown backend
// server or an earlier start succeeds without effect. It returns roster.ErrNotLeaving or
// roster.ErrStartRecent when it cannot tell which start the call means.
func (r *Replica) Deregister(ctx context.Context, d roster.Deregistration) error {
	g := &r.registry
	g.mu.Lock()
	ended, found, err := g.roster.Deregister(d)
	g.mu.Unlock()
	log := r.log.WithField("server", logs.FormatServerID(d.ID)).WithField("incarnation", d.Incarnation)
	switch {
	case err != nil:
		r.CountRefusedAnnouncement()
		log.WithError(err).Warn("deregistrationRefused")
		return err
	case !found:
		log.Info("deregistrationIgnored")
		return nil
	default:
		return r.Announce(ctx, ended)
	}
}

// Now returns the time on the clock of the roster.
func (r *Replica) Now() time.Duration { return r.now() }

// publish sends changed records to the subscribed entry instances and to the other
// replicas. With needAcks all replicas save the departures among them, and the returned
// ackWait counts those that have; otherwise the replicas get the records in batches.
func (g *registry) publish(changed []roster.Server, needAcks bool) *ackWait {
	if len(changed) == 0 {
		return nil
	}
	g.hub.PublishServers(changed)
	if needAcks {
		g.serial++
		c, serial := g.newAckWait(), g.serial
		g.journal.add(departures(changed), func() { g.handleRosterAck(proto.RosterAck{By: g.r.id, Serial: serial}) })
		g.r.mesh.broadcast(proto.ToPlane{Roster: &proto.Roster{From: g.r.id, Servers: changed, Serial: g.serial}})
		return c
	}
	g.batcher.Add(changed, g.broadcastServers)
	return nil
}

func (g *registry) broadcastServers(servers []roster.Server) {
	g.r.mesh.broadcast(proto.ToPlane{Roster: &proto.Roster{From: g.r.id, Servers: servers}})
}

// newAckWait starts to count the acknowledgements of the current serial by a majority of
// the voters.
func (g *registry) newAckWait() *ackWait {
	c := &ackWait{ackedBy: map[string]bool{}, done: make(chan struct{}), need: len(g.voters)/2 + 1}
	g.ackWaits[g.serial] = c
	delete(g.ackWaits, g.serial-maxAckWaits)
	return c
}

// maxAckWaits bounds the announcements that wait for acknowledgements.
const maxAckWaits = 1024

func (g *registry) awaitAcks(ctx context.Context, c *ackWait) error {
	timeout := time.NewTimer(ackTimeout)
	defer timeout.Stop()
	select {
	case <-c.done:
		return nil
	case <-timeout.C:
		return ErrNoQuorum
	case <-ctx.Done():
		return ErrNoQuorum
	}
}

// handleRoster merges records from another replica.
func (g *registry) handleRoster(m proto.Roster) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.r.now()
	var changed, newer []roster.Server
	for _, s := range m.Servers {
		c, stale := g.roster.Merge(now, s)
		changed = append(changed, c...)
		if current, ok := g.roster.Get(s.ID); ok && stale && (s.Silent || current.Phase != s.Phase) {
			newer = append(newer, current)
		}
	}
	newer = g.roster.Aged(now, slices.Values(newer))
	g.logChanges("replica", changed)
	g.hub.PublishServers(append(changed, newer...))
	if len(newer) > 0 {
		// The sender decided on older records than those held here.
		g.r.mesh.broadcast(proto.ToPlane{Roster: &proto.Roster{From: g.r.id, Servers: newer}})
	}
	if m.Serial > 0 {
		g.journal.add(departures(m.Servers), func() {
			g.r.mesh.send(m.From, proto.ToPlane{RosterAck: &proto.RosterAck{By: g.r.id, Serial: m.Serial}})
		})
	}
}

// handleLiveness merges the heartbeats that another replica has received, and queries
// its roster when the digests differ.
func (g *registry) handleLiveness(m proto.Liveness) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setZone(m.From, m.Zone)
	g.r.granter.setInstances(m.From, m.Instances)
	now := g.r.now()
	changed := g.roster.MergeHeartbeats(now, m.Heartbeats)
	g.logChanges("replica", changed)
	g.hub.PublishServers(changed)
	if m.Digest != g.roster.Digest() && now-g.queriedAt[m.From] > queryInterval {
		g.queriedAt[m.From] = now
		g.r.mesh.send(m.From, proto.ToPlane{RosterQuery: &proto.RosterQuery{From: g.r.id, Digests: g.roster.BucketDigests()}})
	}
}

// queryInterval is the least time between two queries of a replica whose digest
// differs. While records change often, digests nearly always differ for a moment.
const queryInterval = time.Second

// handleRosterQuery sends a replica the records that it may lack.
func (g *registry) handleRosterQuery(m proto.RosterQuery) {
	if differing := g.differing(m.Digests); len(differing) > 0 {
		g.r.mesh.send(m.From, proto.ToPlane{Roster: &proto.Roster{From: g.r.id, Servers: differing}})
	}
}

func (g *registry) handleRosterAck(m proto.RosterAck) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.ackWaits[m.Serial]
	if c == nil || c.ackedBy[m.By] || !slices.Contains(g.voters, m.By) {
		return
	}
	c.ackedBy[m.By] = true
	if len(c.ackedBy) == c.need {
		close(c.done)
	}
}

// all returns every record as of now.
func (g *registry) all() []roster.Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.Aged(g.r.now(), g.roster.All())
}

// warming returns the records of the backend servers that are warming.
func (g *registry) warming() []roster.Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.Warming(g.r.now())
}

// differing returns the records in the buckets with other digests.
func (g *registry) differing(digests []uint64) []roster.Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.Aged(g.r.now(), slices.Values(g.roster.Differing(digests)))
}

func (g *registry) digest() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.Digest()
}

// count returns the number of backend servers in a phase.
func (g *registry) count(phase roster.Phase) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.Count(phase)
}

// setVoters sets the voters, a majority of which must save that a backend server
// leaves.
func (g *registry) setVoters(ids []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.voters = ids
}

// run exchanges heartbeats and detects silent backend servers until ctx ends.
func (g *registry) run(ctx context.Context) {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.tick()
		}
	}
}

func (g *registry) tick() {
	g.r.outliers.expire(g.r.now())
	g.r.granter.expire(g.r.now())
	g.updateContact()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.roster.Expire(g.r.now())
	g.r.mesh.broadcast(proto.ToPlane{Liveness: &proto.Liveness{
		From: g.r.id, Zone: g.r.cfg.Zone, Heartbeats: g.roster.TakeHeartbeats(), Digest: g.roster.Digest(),
		Instances: g.r.granter.instancesReport(g.r.now())}})
	if !g.r.InContact() {
		g.contactSince = g.r.now() // the other replicas' heartbeats do not arrive here
		return
	}
	if changed := g.roster.MarkSilent(g.r.now(), g.contactSince, g.r.cfg.ServerTimeout); len(changed) > 0 {
		g.logChanges("silence", changed)
		g.publish(changed, false)
	}
}

// updateContact publishes whether the replica is in contact with a leader. The event
// loop cannot publish that while it waits for the disk.
func (g *registry) updateContact() {
	contact := g.r.InContact()
	if g.hub.SetContact(contact) {
		g.r.log.WithField("contact", contact).Info("contactChanged")
	}
}

// setZone records the availability zone of a replica.
func (g *registry) setZone(id, zone string) {
	address := quorum.AddressOf(id)
	if zone == "" || g.zones[address] == zone {
		return
	}
	g.zones[address] = zone
	g.hub.SetReplicaZones(g.zones)
}

// logChanges writes one line for each backend server that changed.
func (g *registry) logChanges(source string, changed []roster.Server) {
	for _, s := range changed {
		g.r.log.WithFields(logs.ServerFields(s)).WithField("source", source).Info("serverChanged")
	}
}
