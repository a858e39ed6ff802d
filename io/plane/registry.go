package plane

import (
	"context"
	"slices"
	"sync"
	"time"

	"boragepost/core/roster"
	"boragepost/io/feed"
	"boragepost/io/logs"
	"boragepost/io/proto"
)

// registry holds the roster and, through its hub, tells entry instances and other replicas what
// changed. It never waits for the disk or the quorum.
type registry struct {
	r       *Replica
	mu      sync.Mutex
	roster  roster.Roster
	hub     feed.Hub
	voters  int
	hearing time.Duration // since when this replica is in contact with the others
	serial  uint64
	waiting map[uint64]*confirmation
	// settled has the incarnations whose leaving a majority of replicas knows.
	settled  map[uint64]uint64
	gatherer feed.Batcher // of what the other replicas are told
	// sentAll is when the whole roster was last sent to a replica.
	sentAll map[string]time.Duration
}

// confirmation counts the replicas that have taken in a change.
type confirmation struct {
	by   map[string]bool
	done chan struct{} // closed when enough have
	need int
}

const (
	// registryInterval is how often signs of life are exchanged and silence is
	// looked for.
	registryInterval = 500 * time.Millisecond
	// confirmTimeout is how long an announcement waits for other replicas. It is
	// well below the second within which the answer counts.
	confirmTimeout = 600 * time.Millisecond
)

func (g *registry) init(r *Replica) {
	g.r = r
	g.hub.AllServers, g.hub.Digest, g.hub.Log = g.all, g.digest, r.log
	g.hub.OnFailures = r.outliers.report
	g.hub.Configure(r.held.Configuration)
	g.waiting = map[uint64]*confirmation{}
	g.settled = map[uint64]uint64{}
	g.sentAll = map[string]time.Duration{}
	g.restore()
}

// Announce takes in what a backend server says of itself. It returns nil when
// the backend server may rely on it: this replica is in contact with a quorum,
// and one that leaves is known as leaving to a majority of the replicas. The
// announcement counts in any case.
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
	leaving := s.Phase != roster.Ready && g.settled[s.ID] != s.Incarnation+1
	if leaving && len(changed) == 0 {
		changed = []roster.Server{s} // repeated: it may not have arrived everywhere
	}
	c := g.spread(changed, leaving)
	g.mu.Unlock()
	if !r.InContact() {
		return ErrNoQuorum
	}
	if !leaving {
		return nil
	}
	if err := g.wait(ctx, c); err != nil {
		return err
	}
	g.settle(s)
	return nil
}

// settle notes that a majority of the replicas knows that a backend server
// leaves.
func (g *registry) settle(s roster.Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.settled) > maxWaiting {
		clear(g.settled) // only costs another confirmation
	}
	g.settled[s.ID] = s.Incarnation + 1
}

// Deregister takes in that a backend server has left. A farewell from one that is
// not known is accepted and changes nothing.
func (r *Replica) Deregister(ctx context.Context, id, incarnation uint64) error {
	g := &r.registry
	g.mu.Lock()
	s, known := g.roster.Get(id)
	g.mu.Unlock()
	if !known || incarnation != 0 && incarnation != s.Incarnation {
		return nil
	}
	return r.Announce(ctx, s.WithPhase(roster.Gone))
}

// spread tells entry instances and replicas of changed records. With confirm it does
// so at once and returns what the replicas' confirmations are counted in; otherwise
// records wait a moment for others that change.
func (g *registry) spread(changed []roster.Server, confirm bool) *confirmation {
	if len(changed) == 0 {
		return nil
	}
	g.hub.PublishServers(changed)
	if confirm {
		g.serial++
		c := g.confirmation()
		g.r.mesh.broadcast(proto.ToPlane{Roster: &proto.Roster{From: g.r.id, Servers: changed, Serial: g.serial}})
		return c
	}
	g.gatherer.Add(changed, g.tellReplicas)
	return nil
}

func (g *registry) tellReplicas(servers []roster.Server) {
	g.r.mesh.broadcast(proto.ToPlane{Roster: &proto.Roster{From: g.r.id, Servers: servers}})
}

// confirmation starts to count the confirmations of the present serial. With this
// replica they make up a majority of the voters.
func (g *registry) confirmation() *confirmation {
	c := &confirmation{by: map[string]bool{}, done: make(chan struct{}), need: g.voters / 2}
	if c.need == 0 {
		close(c.done)
	}
	g.waiting[g.serial] = c
	delete(g.waiting, g.serial-maxWaiting)
	return c
}

// maxWaiting bounds the announcements that wait for confirmation.
const maxWaiting = 1024

func (g *registry) wait(ctx context.Context, c *confirmation) error {
	timeout := time.NewTimer(confirmTimeout)
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

// onRoster takes in what another replica knows of backend servers.
func (g *registry) onRoster(m proto.Roster) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.r.now()
	var changed, newer []roster.Server
	for _, s := range m.Servers {
		c, stale := g.roster.Merge(now, s)
		changed = append(changed, c...)
		if held, ok := g.roster.Get(s.ID); ok && stale && (s.Silent || held.Phase != s.Phase) {
			newer = append(newer, held)
		}
	}
	g.logChanges("replica", changed)
	g.hub.PublishServers(append(changed, newer...))
	if len(newer) > 0 {
		// The sender judged by less than is known here.
		g.r.mesh.broadcast(proto.ToPlane{Roster: &proto.Roster{From: g.r.id, Servers: newer}})
	}
	if m.Serial > 0 {
		g.r.mesh.send(m.From, proto.ToPlane{RosterAck: &proto.RosterAck{By: g.r.id, Serial: m.Serial}})
	}
}

// onAlive takes in which backend servers another replica has heard.
func (g *registry) onAlive(m proto.Liveness) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.r.now()
	changed := g.roster.MergeHeartbeats(now, m.Heartbeats)
	g.logChanges("replica", changed)
	g.hub.PublishServers(changed)
	if m.Digest != g.roster.Digest() && now-g.sentAll[m.From] > resendAll {
		g.sentAll[m.From] = now
		all := slices.Collect(g.roster.All())
		g.r.mesh.send(m.From, proto.ToPlane{Roster: &proto.Roster{From: g.r.id, Servers: all}})
	}
}

// resendAll bounds how often the whole roster goes to a replica that differs.
const resendAll = time.Second

func (g *registry) onConfirmed(m proto.RosterAck) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.waiting[m.Serial]
	if c == nil || c.by[m.By] {
		return
	}
	c.by[m.By] = true
	if len(c.by) == c.need {
		close(c.done)
	}
}

// all returns every record.
func (g *registry) all() []roster.Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Collect(g.roster.All())
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

// setVoters sets how many replicas vote, a majority of which has to know that a
// backend server leaves.
func (g *registry) setVoters(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.voters = n
}

// run exchanges signs of life and looks for silence until ctx ends.
func (g *registry) run(ctx context.Context) {
	ticker := time.NewTicker(registryInterval)
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
	g.mu.Lock()
	defer g.mu.Unlock()
	g.roster.Expire(g.r.now())
	g.r.mesh.broadcast(proto.ToPlane{Liveness: &proto.Liveness{
		From: g.r.id, Heartbeats: g.roster.TakeHeartbeats(), Digest: g.roster.Digest()}})
	if !g.r.InContact() {
		g.hearing = g.r.now() // what others hear does not arrive here
		return
	}
	if changed := g.roster.MarkSilent(g.r.now(), g.hearing, g.r.cfg.ServerTimeout); len(changed) > 0 {
		g.logChanges("silence", changed)
		g.spread(changed, false)
	}
}

// logChanges writes one line for each backend server that changed.
func (g *registry) logChanges(source string, changed []roster.Server) {
	for _, s := range changed {
		g.r.log.WithFields(logs.ServerFields(s)).WithField("source", source).Info("serverChanged")
	}
}
