package plane

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"boragepost/core/cold"
	"boragepost/core/quorum"
	"boragepost/core/roster"
	"boragepost/io/logs"
	"boragepost/io/proto"
)

// granter grants the cold periods of backend servers to entry instances while this
// replica leads, and passes the leader's grants on to its own subscribers. It needs no
// quorum and no disk: the leader's lease and the time for which a new leader waits ensure
// that no two replicas grant one period (cold.Granter).
type granter struct {
	r *Replica

	mu        sync.Mutex // guards the fields below
	decisions cold.Granter
	// pauses notices that grants of the leader may have waited to be read.
	pauses cold.PauseDetector
	// instances are the entry instances that other replicas have reported.
	instances map[string]reportedInstances
	// treatedColdAt is when treatAsCold was last called for each availability zone.
	treatedColdAt map[string]time.Duration

	// reported is the list of this replica's subscribers that was last sent, and
	// reportedAt when.
	reported   []cold.Instance
	reportedAt time.Duration

	// The following fields are used by the event loop only.
	leaderTerm  uint64
	leaderSince time.Duration
}

// reportedInstances are the active subscribers of another replica.
type reportedInstances struct {
	at   time.Duration
	list []cold.Instance
}

const (
	// reportInterval is how often a replica repeats the list of its active subscribers,
	// besides after each change: a list of 22 takes some 700 bytes.
	reportInterval = 5 * time.Second
	// instancesTimeout is how long the subscribers that a replica has reported are
	// granted to: three of its reports.
	instancesTimeout = 3 * reportInterval
	// replicaPauseLimit is the time between two exchanges of heartbeats above which
	// the process counts as paused.
	replicaPauseLimit = gossipInterval + 250*time.Millisecond
	// returnDelay is how long after the end of an evacuation the zone's backend servers
	// are granted. By then the instances have learned of it, usually within 0.2 s; a
	// grant that arrives before that is void.
	returnDelay = 300 * time.Millisecond
)

func (g *granter) init(r *Replica) {
	g.r = r
	g.pauses.Limit = replicaPauseLimit
	g.instances = map[string]reportedInstances{}
	g.treatedColdAt = map[string]time.Duration{}
}

// inForce reports whether some service has a limit.
func (g *granter) inForce() bool { return g.r.cfg.ColdBound.Set && len(g.r.Current().Cold) > 0 }

// tick grants the periods that are due if this replica leads. It runs on the event loop
// right after the node's clock was advanced, so that a leader that was paused does not
// rely on a lease that has ended.
func (g *granter) tick(now time.Duration) {
	if g.r.node.Role() != quorum.Leader || !g.r.node.HasLease() {
		return
	}
	if g.leaderTerm != g.r.node.Term() {
		g.leaderTerm, g.leaderSince = g.r.node.Term(), now
	}
	if !g.inForce() {
		return
	}
	periods := g.periods(now)
	if len(periods) == 0 {
		return
	}
	g.mu.Lock()
	instances := g.allInstances(now)
	grants := g.decisions.Grant(now, g.leaderSince, periods, instances)
	g.mu.Unlock()
	if len(grants) == 0 {
		return
	}
	g.r.mesh.broadcast(proto.ToPlane{ColdGrants: grants})
	g.r.registry.hub.PublishColdGrants(grants)
	g.r.counters.coldGrants.Add(float64(len(grants)))
	g.log(grants, instances)
}

func (g *granter) log(grants []cold.Grant, instances []cold.Instance) {
	byProcess := map[uint64]cold.Instance{}
	for _, i := range instances {
		byProcess[i.Process] = i
	}
	for _, grant := range grants {
		i := byProcess[grant.Instance]
		g.r.log.WithFields(logrus.Fields{
			"server": logs.FormatServerID(grant.Server), "incarnation": grant.Incarnation, "for": grant.Remaining,
			"instance": i.Name, "zone": i.Zone, "instances": len(instances), "term": g.leaderTerm,
			"leaderFor": g.r.now() - g.leaderSince,
		}).Info("coldGranted")
	}
}

// periods returns the cold periods of backend servers whose service has a limit.
func (g *granter) periods(now time.Duration) []cold.Period {
	var out []cold.Period
	current := g.r.Current()
	for _, s := range g.r.registry.warming() {
		if limit, ok := current.ColdLimit(s.Service); ok && s.Phase == roster.Ready {
			end := now + s.Warming
			out = append(out, cold.Period{Server: s.ID, Incarnation: s.Incarnation, Zone: s.Zone,
				Began: min(now, end-limit.Start), End: end, Start: limit.Start})
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.DeleteFunc(out, func(p cold.Period) bool {
		at, ok := g.treatedColdAt[p.Zone]
		return ok && now < at+returnDelay
	})
}

// TreatAsCold makes the backend servers of an availability zone count as cold for
// config.ColdLimit.Start from now, as flow.CookieBalancer.TreatAsCold does at the entry
// instances, so that instances that subscribe later do so as well. Each replica calls it
// when it applies the end of an evacuation, with the revision after it.
func (r *Replica) TreatAsCold(zone string, revision uint64) {
	r.granter.recordEnd(zone)
	current := r.Current()
	g := &r.registry
	g.mu.Lock()
	defer g.mu.Unlock()
	for s := range g.roster.All() {
		if limit, ok := current.ColdLimit(s.Service); ok && s.Zone == zone {
			g.roster.ExtendWarming(r.now(), s.ID, limit.Start, revision)
		}
	}
	g.hub.ResetServers()
}

func (g *granter) recordEnd(zone string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.treatedColdAt[zone] = g.r.now()
}

// receive passes the leader's grants on, unless they may have waited here while the
// process was paused. They are recorded in any case.
func (g *granter) receive(grants []cold.Grant) {
	now := g.r.now()
	g.mu.Lock()
	g.decisions.Record(now, grants)
	old := g.pauses.MayBeOld(now)
	g.mu.Unlock()
	if old {
		g.r.log.WithField("grants", len(grants)).Warn("coldGrantsDiscarded")
		return
	}
	g.r.registry.hub.PublishColdGrants(grants)
}

// instancesReport returns the active subscribers of this replica if they are to be
// reported to the others now: after a change and every reportInterval, while a service has
// a limit. An empty list is reported as one instance that accepts no grants.
func (g *granter) instancesReport(now time.Duration) []cold.Instance {
	if !g.inForce() {
		return nil
	}
	list := g.r.registry.hub.ActiveInstances()
	if len(list) == 0 {
		list = []cold.Instance{{}}
	}
	slices.SortFunc(list, func(a, b cold.Instance) int { return cmp.Compare(a.Process, b.Process) })
	g.mu.Lock()
	defer g.mu.Unlock()
	if slices.Equal(list, g.reported) && now-g.reportedAt < reportInterval {
		return nil
	}
	g.reported, g.reportedAt = list, now
	return list
}

// setInstances records the active subscribers of another replica.
func (g *granter) setInstances(replica string, list []cold.Instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(list) == 0 {
		return // unchanged
	}
	g.instances[replica] = reportedInstances{at: g.r.now(), list: list}
}

// allInstances returns the active subscribers of all replicas, each once. g.mu must be
// held.
func (g *granter) allInstances(now time.Duration) []cold.Instance {
	out := g.r.registry.hub.ActiveInstances()
	seen := map[uint64]bool{}
	for _, i := range out {
		seen[i.Process] = true
	}
	for _, reported := range g.instances {
		if now-reported.at > instancesTimeout {
			continue
		}
		for _, i := range reported.list {
			if !seen[i.Process] {
				seen[i.Process] = true
				out = append(out, i)
			}
		}
	}
	return out
}

// expire drops what no longer has an effect, and notices pauses of the process.
func (g *granter) expire(now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pauses.Run(now)
	g.decisions.Expire(now)
	maps.DeleteFunc(g.instances, func(_ string, r reportedInstances) bool { return now-r.at > instancesTimeout })
}
