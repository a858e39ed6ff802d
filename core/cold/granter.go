package cold

import (
	"maps"
	"time"

	"boragepost/core/place"
)

// Period is a cold period of a backend server whose service has a limit, as known to a
// control replica.
type Period struct {
	Server, Incarnation uint64
	Zone                string
	// Began is when it began at the latest, and End when it ends.
	Began, End time.Duration
	// Start is how long backend servers of the service are cold.
	Start time.Duration
}

// Granter decides at the leader which instance gets the limit of each cold period. The
// other replicas record the decisions, for when they lead. The zero value has made none.
type Granter struct {
	grants map[uint64]granted // the latest by backend server
}

// granted is a grant that was made.
type granted struct {
	incarnation, instance uint64
	end                   time.Duration
}

// extension is by how much the end of a period may become later by the delay of messages
// without being another period.
const extension = 100 * time.Millisecond

// handover is how long after the end of a grant the backend server's limit goes to no
// other instance: until then the holder may use the grant, and afterwards what it has sent
// last leaves its window.
const handover = MaxLateness + window

// Grant returns the grants that are due for the present cold periods, at the leader.
// leaderSince is when it became the leader. A period that began before it had been the
// leader for the longest time that an earlier leader's grant may last gets none: being
// idle for a cold period costs a backend server little, and two grants violate the limit.
func (g *Granter) Grant(now, leaderSince time.Duration, periods []Period, instances []Instance) []Grant {
	if len(periods) == 0 || len(instances) == 0 {
		return nil
	}
	holdings := g.holdings(now)
	var out []Grant
	for _, p := range periods {
		remaining := p.End - now
		settled := p.Began >= leaderSince+p.Start+handover
		// An earlier leader may have granted a longer period than the service can have.
		plausible := remaining > 0 && remaining <= p.Start+extension
		old, exists := g.grants[p.Server]
		known := exists && old.incarnation == p.Incarnation && p.End <= old.end+extension
		if !settled || !plausible || known {
			continue
		}
		holder := uint64(0)
		if exists && now < old.end+handover {
			holder = old.instance
		}
		i, ok := choose(p, holder, instances, holdings)
		if !ok {
			continue
		}
		grant := Grant{Server: p.Server, Incarnation: p.Incarnation, Remaining: remaining, Instance: i.Process}
		g.Record(now, []Grant{grant})
		holdings[i.Process]++
		out = append(out, grant)
	}
	return out
}

// choose returns the instance that gets a period: the present holder if there is one, or
// the one that holds the fewest grants, in the backend server's availability zone if that
// has one. It returns false if the holder is not there.
func choose(p Period, holder uint64, instances []Instance, holdings map[uint64]int) (best Instance, ok bool) {
	better := func(a, b Instance) bool {
		if sameZone := a.Zone == p.Zone; sameZone != (b.Zone == p.Zone) {
			return sameZone
		}
		if holdings[a.Process] != holdings[b.Process] {
			return holdings[a.Process] < holdings[b.Process]
		}
		return place.Mix(p.Server, a.Process) > place.Mix(p.Server, b.Process)
	}
	for _, i := range instances {
		if i.Process == 0 || holder != 0 && i.Process != holder {
			continue
		}
		if !ok || better(i, best) {
			best, ok = i, true
		}
	}
	return best, ok
}

// holdings returns the number of grants that each instance holds.
func (g *Granter) holdings(now time.Duration) map[uint64]int {
	n := map[uint64]int{}
	for _, old := range g.grants {
		if now < old.end {
			n[old.instance]++
		}
	}
	return n
}

// Record records grants that were made now, here or by the leader.
func (g *Granter) Record(now time.Duration, grants []Grant) {
	if g.grants == nil {
		g.grants = map[uint64]granted{}
	}
	for _, grant := range grants {
		next := granted{incarnation: grant.Incarnation, instance: grant.Instance, end: now + grant.Remaining}
		if old, ok := g.grants[grant.Server]; ok && old.end > next.end {
			next.end = old.end
		}
		g.grants[grant.Server] = next
	}
}

// Expire drops the grants that no longer affect a decision.
func (g *Granter) Expire(now time.Duration) {
	maps.DeleteFunc(g.grants, func(_ uint64, old granted) bool { return now >= old.end+handover })
}
