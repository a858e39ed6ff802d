// Package leader decides what the elected control replica proposes on its own:
// which instances join and leave, which backend servers are removed, and when a
// bucket move may go on to its next stage.
//
// Leases and confirmations are soft state of the leader. A new leader starts
// with a grace period in which nobody's lease ends, so a lost leader does not
// age everybody out.
//
// # Usage
//
//	d := leader.New(leader.Timing{}, now)
//	d.Beat(now, beat)
//	d.Renew(now, ids)
//	for _, c := range d.Tick(now, state) { propose(c) }
package leader

import (
	"fmt"
	"time"

	"boragepost/core/model"
	"boragepost/core/state"
	"boragepost/core/table"
)

// Timing holds the durations of leases. Zero values take defaults.
type Timing struct {
	// InstanceLease is how long an entry instance may act after it sent a
	// heartbeat that was granted.
	InstanceLease time.Duration
	// ServerLease is the silence after which a backend server is removed.
	ServerLease time.Duration
}

const (
	defaultInstanceLease = 2 * time.Second
	defaultServerLease   = 4 * time.Second
	// leaseMargin covers the difference between the clocks' speeds.
	leaseMargin = 250 * time.Millisecond
	// repeatAfter is how long a proposal may take before it is made again.
	repeatAfter = time.Second
	// closeMargin is added to a service's idle timeout before its open buckets
	// close.
	closeMargin = time.Second
)

// WithDefaults returns the timing with defaults in place of zeros.
func (t Timing) WithDefaults() Timing {
	if t.InstanceLease == 0 {
		t.InstanceLease = defaultInstanceLease
	}
	if t.ServerLease == 0 {
		t.ServerLease = defaultServerLease
	}
	return t
}

// Heartbeat is a heartbeat of an entry instance.
type Heartbeat struct {
	Instance model.Instance `cbor:"1,keyasint"`
	// Prepared is the version through which the instance prepared all moves.
	Prepared uint64 `cbor:"2,keyasint"`
	// Fetched is the version through which it holds all exceptions.
	Fetched uint64 `cbor:"3,keyasint"`
	// Applied is the version in force at the instance.
	Applied uint64 `cbor:"4,keyasint"`
	// Leaving announces a graceful shutdown.
	Leaving bool `cbor:"5,keyasint,omitempty"`
}

type instanceLease struct {
	beat Heartbeat
	at   time.Duration
}

type openedKey struct {
	service string
	since   uint64
}

// Reconciler is the leader's soft state. It belongs to one goroutine. Times are
// readings of one monotonic clock.
type Reconciler struct {
	timing    Timing
	start     time.Duration
	instances map[model.InstanceID]instanceLease
	servers   map[model.ServerID]time.Duration
	opened    map[openedKey]time.Duration
	proposed  map[string]time.Duration
}

// New returns the duties of a leader that was elected at the given time.
func New(t Timing, now time.Duration) *Reconciler {
	return &Reconciler{
		timing:    t.WithDefaults(),
		start:     now,
		instances: map[model.InstanceID]instanceLease{},
		servers:   map[model.ServerID]time.Duration{},
		opened:    map[openedKey]time.Duration{},
		proposed:  map[string]time.Duration{},
	}
}

// Heartbeat records a heartbeat. It reports whether the instance may be granted a
// lease: its present incarnation must be a member.
func (d *Reconciler) Heartbeat(now time.Duration, b Heartbeat, s *state.State) bool {
	if old, ok := d.instances[b.Instance.ID]; ok && old.beat.Instance.Incarnation > b.Instance.Incarnation {
		return false
	}
	d.instances[b.Instance.ID] = instanceLease{beat: b, at: now}
	member, ok := s.Instance(b.Instance.ID)
	return ok && member.Incarnation == b.Instance.Incarnation && !b.Leaving
}

// RenewServers extends the leases of backend servers.
func (d *Reconciler) RenewServers(now time.Duration, ids []model.ServerID) {
	for _, id := range ids {
		d.servers[id] = now
	}
}

// AppliedByZone returns the lowest version in force among the instances of each
// availability zone, and the number of instances that report it.
func (d *Reconciler) AppliedByZone(now time.Duration) map[string]ZoneStatus {
	out := map[string]ZoneStatus{}
	for _, l := range d.instances {
		if now-l.at > d.instanceLimit() {
			continue
		}
		z, ok := out[l.beat.Instance.Zone]
		if !ok || l.beat.Applied < z.Applied {
			z.Applied = l.beat.Applied
		}
		z.Instances++
		out[l.beat.Instance.Zone] = z
	}
	return out
}

// ZoneStatus says what is in force in one availability zone.
type ZoneStatus struct {
	Applied   uint64 `json:"observedResourceVersion" cbor:"1,keyasint"`
	Instances int    `json:"instances" cbor:"2,keyasint"`
}

func (d *Reconciler) instanceLimit() time.Duration { return d.timing.InstanceLease + leaseMargin }

// Tick returns the commands to propose now.
func (d *Reconciler) Tick(now time.Duration, unixMs int64, s *state.State) []model.Command {
	var out []model.Command
	out = append(out, d.joins(now, s)...)
	out = append(out, d.leaves(now, s)...)
	out = append(out, d.removals(now, unixMs, s)...)
	for _, svc := range s.Services() {
		out = append(out, d.advances(now, svc, s)...)
	}
	for i := range out {
		out[i].Actor = "leader"
		out[i].Time = unixMs
	}
	return out
}

// once reports whether a proposal may be made now, and remembers it.
func (d *Reconciler) once(now time.Duration, format string, args ...any) bool {
	key := fmt.Sprintf(format, args...)
	if at, ok := d.proposed[key]; ok && now-at < repeatAfter {
		return false
	}
	if len(d.proposed) > maxProposed {
		clear(d.proposed)
	}
	d.proposed[key] = now
	return true
}

const maxProposed = 1 << 14

func (d *Reconciler) joins(now time.Duration, s *state.State) []model.Command {
	var out []model.Command
	for id, l := range d.instances {
		member, ok := s.Instance(id)
		current := ok && member.Incarnation >= l.beat.Instance.Incarnation
		if current || l.beat.Leaving || now-l.at > d.instanceLimit() {
			continue
		}
		if d.once(now, "join/%s/%d", id, l.beat.Instance.Incarnation) {
			out = append(out, model.Command{Join: &model.Join{Instance: l.beat.Instance}})
		}
	}
	return out
}

func (d *Reconciler) leaves(now time.Duration, s *state.State) []model.Command {
	var out []model.Command
	for _, member := range s.Instances() {
		l, ok := d.instances[member.ID]
		silent := now - max(l.at, d.start)
		reason := "lease"
		switch {
		case ok && l.beat.Leaving && l.beat.Instance.Incarnation == member.Incarnation:
			reason = "shutdown"
		case silent <= d.instanceLimit():
			continue
		}
		if d.once(now, "leave/%s/%d", member.ID, member.Incarnation) {
			out = append(out, model.Command{Leave: &model.Leave{
				ID: member.ID, Incarnation: member.Incarnation, Reason: reason}})
		}
	}
	return out
}

// removals proposes the removal of backend servers whose drain has ended, and of
// silent ones as long as that does not take away most of a service.
func (d *Reconciler) removals(now time.Duration, unixMs int64, s *state.State) []model.Command {
	total := map[string]int{}
	silent := map[string][]model.ServerID{}
	var drained []model.ServerID
	for _, b := range s.Servers() {
		total[b.Service]++
		switch {
		case b.Phase == model.Draining && unixMs >= b.DrainUntil:
			drained = append(drained, b.ID)
		case now-max(d.servers[b.ID], d.start) > d.timing.ServerLease:
			silent[b.Service] = append(silent[b.Service], b.ID)
		}
	}
	var lost []model.ServerID
	for service, ids := range silent {
		if 2*len(ids) <= total[service] {
			lost = append(lost, ids...)
		}
	}
	var out []model.Command
	add := func(ids []model.ServerID, reason string) {
		if len(ids) > 0 && d.once(now, "remove/%v", ids) {
			out = append(out, model.Command{RemoveServers: &model.RemoveServers{IDs: ids, Reason: reason}})
		}
	}
	add(drained, "drained")
	add(lost, "lease")
	return out
}

// advances proposes the next stage of a service's moves when every member has
// done its part of the present one.
func (d *Reconciler) advances(now time.Duration, svc model.Service, s *state.State) []model.Command {
	t := s.Table(svc.Name)
	confirmed, fetched, all := d.progress(s)
	var out []model.Command
	add := func(stage model.Stage, through uint64) {
		if d.once(now, "advance/%s/%d/%d", svc.Name, stage, through) {
			out = append(out, model.Command{Advance: &model.Advance{
				Service: svc.Name, Stage: stage, Through: through}})
		}
	}
	if since, ok := t.MinSince(table.Preparing); ok && all && confirmed >= since {
		add(model.StageMigrating, confirmed)
	}
	if since, ok := t.MinSince(table.Migrating); ok && d.openFor(now, svc, since) {
		add(model.StageFinalizing, since)
	}
	if since, ok := t.MinSince(table.Finalizing); ok && all && fetched >= since {
		add(model.StageStable, fetched)
	}
	return out
}

// openFor reports whether the buckets opened at a version have been open for so
// long that every flow older than that has been recorded or has ended.
func (d *Reconciler) openFor(now time.Duration, svc model.Service, since uint64) bool {
	key := openedKey{service: svc.Name, since: since}
	at, ok := d.opened[key]
	if !ok {
		d.opened[key] = now
		return false
	}
	if now-at < time.Duration(svc.IdleTimeout)+closeMargin {
		return false
	}
	return true
}

// progress returns the lowest confirmed and fetched versions of all members,
// and whether all of them have reported to this leader.
func (d *Reconciler) progress(s *state.State) (confirmed, fetched uint64, all bool) {
	confirmed, fetched = s.Index(), s.Index()
	for _, member := range s.Instances() {
		l, ok := d.instances[member.ID]
		if !ok || l.beat.Instance.Incarnation != member.Incarnation {
			return 0, 0, false
		}
		confirmed = min(confirmed, l.beat.Prepared)
		fetched = min(fetched, l.beat.Fetched)
	}
	return confirmed, fetched, true
}
