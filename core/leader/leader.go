// Package leader decides which commands the elected control replica proposes on its
// own: which instances join and leave, which backend servers are removed, and when
// a bucket move advances to its next stage.
//
// Leases and the versions reported by heartbeats are soft state of the leader. A new
// leader starts with a grace period in which no lease expires, so that a change of
// leader does not remove all instances and backend servers.
//
// # Usage
//
//	r := leader.New(leader.Timing{}, now)
//	r.Heartbeat(now, heartbeat, state)
//	r.RenewServers(now, ids)
//	for _, c := range r.Tick(now, unixMs, state) { propose(c) }
package leader

import (
	"fmt"
	"time"

	"boragepost/core/model"
	"boragepost/core/state"
	"boragepost/core/table"
)

// Timing holds the lease durations. Zero values take defaults.
type Timing struct {
	// InstanceLease is how long an entry instance holds its lease, counted from when
	// it sent the heartbeat for which the lease was granted.
	InstanceLease time.Duration
	// ServerLease is how long a backend server must be silent before it is removed. It
	// counts from when the leader first knew the backend server, or its last renewal.
	ServerLease time.Duration
}

const (
	defaultInstanceLease = 2 * time.Second
	defaultServerLease   = 4 * time.Second
	// leaseMargin covers the clock drift between an instance and the leader.
	leaseMargin = 250 * time.Millisecond
	// proposalRetryInterval is how long a proposal may take to be committed and
	// applied before it is repeated.
	proposalRetryInterval = time.Second
	// idleTimeoutMargin is added to a service's idle timeout before its migrating
	// buckets advance.
	idleTimeoutMargin = time.Second
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
	// Prepared is the version up to which the instance has prepared all moves.
	Prepared uint64 `cbor:"2,keyasint"`
	// Fetched is the version up to which it has fetched all pinned flows.
	Fetched uint64 `cbor:"3,keyasint"`
	// Applied is the version that the instance has applied.
	Applied uint64 `cbor:"4,keyasint"`
	// Leaving announces a graceful shutdown.
	Leaving bool `cbor:"5,keyasint,omitempty"`
}

type instanceLease struct {
	heartbeat  Heartbeat
	receivedAt time.Duration
}

type migrationKey struct {
	service string
	since   uint64
}

// Reconciler compares the leader's soft state with the replicated state and returns
// the commands to propose. It is not safe for concurrent use. Times are readings of
// one monotonic clock.
type Reconciler struct {
	timing         Timing
	start          time.Duration
	instances      map[model.InstanceID]instanceLease
	servers        map[model.ServerID]time.Duration // last renewal, or first seen
	migratingSince map[migrationKey]time.Duration
	proposedAt     map[string]time.Duration
}

// New returns the reconciler of a leader that was elected at the given time.
func New(t Timing, now time.Duration) *Reconciler {
	return &Reconciler{
		timing:         t.WithDefaults(),
		start:          now,
		instances:      map[model.InstanceID]instanceLease{},
		servers:        map[model.ServerID]time.Duration{},
		migratingSince: map[migrationKey]time.Duration{},
		proposedAt:     map[string]time.Duration{},
	}
}

// Heartbeat records a heartbeat. It reports whether the instance may be granted a
// lease: its current incarnation must be a member that is not shutting down.
func (r *Reconciler) Heartbeat(now time.Duration, hb Heartbeat, s *state.State) bool {
	if old, ok := r.instances[hb.Instance.ID]; ok && old.heartbeat.Instance.Incarnation > hb.Instance.Incarnation {
		return false
	}
	r.instances[hb.Instance.ID] = instanceLease{heartbeat: hb, receivedAt: now}
	member, ok := s.Instance(hb.Instance.ID)
	return ok && member.Incarnation == hb.Instance.Incarnation && !hb.Leaving
}

// RenewServers renews the leases of backend servers.
func (r *Reconciler) RenewServers(now time.Duration, ids []model.ServerID) {
	for _, id := range ids {
		r.servers[id] = now
	}
}

// AppliedByZone returns the lowest applied version among the instances of each
// availability zone, and the number of its instances whose lease has not expired.
func (r *Reconciler) AppliedByZone(now time.Duration) map[string]ZoneStatus {
	out := map[string]ZoneStatus{}
	for _, lease := range r.instances {
		if now-lease.receivedAt > r.leaseTimeout() {
			continue
		}
		z, ok := out[lease.heartbeat.Instance.Zone]
		if !ok || lease.heartbeat.Applied < z.Applied {
			z.Applied = lease.heartbeat.Applied
		}
		z.Instances++
		out[lease.heartbeat.Instance.Zone] = z
	}
	return out
}

// ZoneStatus holds the lowest applied version and the number of instances of one
// availability zone.
type ZoneStatus struct {
	Applied   uint64 `json:"observedResourceVersion" cbor:"1,keyasint"`
	Instances int    `json:"instances" cbor:"2,keyasint"`
}

func (r *Reconciler) leaseTimeout() time.Duration { return r.timing.InstanceLease + leaseMargin }

// Tick returns the commands to propose now.
func (r *Reconciler) Tick(now time.Duration, unixMs int64, s *state.State) []model.Command {
	var out []model.Command
	out = append(out, r.proposeJoins(now, s)...)
	out = append(out, r.proposeLeaves(now, s)...)
	out = append(out, r.proposeRemovals(now, unixMs, s)...)
	for _, svc := range s.Services() {
		out = append(out, r.proposeAdvances(now, svc, s)...)
	}
	for i := range out {
		out[i].Actor = "leader"
		out[i].Time = unixMs
	}
	return out
}

// shouldPropose reports whether a proposal is due, that is, not proposed within
// proposalRetryInterval, and records it.
func (r *Reconciler) shouldPropose(now time.Duration, format string, args ...any) bool {
	key := fmt.Sprintf(format, args...)
	if at, ok := r.proposedAt[key]; ok && now-at < proposalRetryInterval {
		return false
	}
	if len(r.proposedAt) > maxProposed {
		clear(r.proposedAt)
	}
	r.proposedAt[key] = now
	return true
}

// maxProposed bounds the size of Reconciler.proposedAt.
const maxProposed = 1 << 14

func (r *Reconciler) proposeJoins(now time.Duration, s *state.State) []model.Command {
	var out []model.Command
	for id, lease := range r.instances {
		member, ok := s.Instance(id)
		current := ok && member.Incarnation >= lease.heartbeat.Instance.Incarnation
		if current || lease.heartbeat.Leaving || now-lease.receivedAt > r.leaseTimeout() {
			continue
		}
		if r.shouldPropose(now, "join/%s/%d", id, lease.heartbeat.Instance.Incarnation) {
			out = append(out, model.Command{Join: &model.Join{Instance: lease.heartbeat.Instance}})
		}
	}
	return out
}

func (r *Reconciler) proposeLeaves(now time.Duration, s *state.State) []model.Command {
	var out []model.Command
	for _, member := range s.Instances() {
		lease, ok := r.instances[member.ID]
		silentFor := now - max(lease.receivedAt, r.start)
		reason := "lease"
		switch {
		case ok && lease.heartbeat.Leaving && lease.heartbeat.Instance.Incarnation == member.Incarnation:
			reason = "shutdown"
		case silentFor <= r.leaseTimeout():
			continue
		}
		if r.shouldPropose(now, "leave/%s/%d", member.ID, member.Incarnation) {
			out = append(out, model.Command{Leave: &model.Leave{
				ID: member.ID, Incarnation: member.Incarnation, Reason: reason}})
		}
	}
	return out
}

// proposeRemovals proposes the removal of backend servers whose drain period has ended
// and of silent ones, unless more than half of a service's backend servers are silent.
func (r *Reconciler) proposeRemovals(now time.Duration, unixMs int64, s *state.State) []model.Command {
	total := map[string]int{}
	silent := map[string][]model.ServerID{}
	var drained []model.ServerID
	for _, b := range s.Servers() {
		total[b.Service]++
		if _, known := r.servers[b.ID]; !known {
			// Its first renewal follows its first announcement by an announcement interval.
			r.servers[b.ID] = now
		}
		switch {
		case b.Phase == model.Draining && unixMs >= b.DrainUntil:
			drained = append(drained, b.ID)
		case now-r.servers[b.ID] > r.timing.ServerLease:
			silent[b.Service] = append(silent[b.Service], b.ID)
		}
	}
	var expired []model.ServerID
	for service, ids := range silent {
		if 2*len(ids) <= total[service] {
			expired = append(expired, ids...)
		}
	}
	var out []model.Command
	add := func(ids []model.ServerID, reason string) {
		if len(ids) > 0 && r.shouldPropose(now, "remove/%v", ids) {
			out = append(out, model.Command{RemoveServers: &model.RemoveServers{IDs: ids, Reason: reason}})
		}
	}
	add(drained, "drained")
	add(expired, "lease")
	return out
}

// proposeAdvances proposes the next stage of a service's bucket moves once every
// member instance has completed the current one.
func (r *Reconciler) proposeAdvances(now time.Duration, svc model.Service, s *state.State) []model.Command {
	t := s.Table(svc.Name)
	prepared, fetched, allReported := r.memberProgress(s)
	var out []model.Command
	add := func(stage model.Stage, through uint64) {
		if r.shouldPropose(now, "advance/%s/%d/%d", svc.Name, stage, through) {
			out = append(out, model.Command{Advance: &model.Advance{
				Service: svc.Name, Stage: stage, Through: through}})
		}
	}
	if since, ok := t.MinSince(table.Preparing); ok && allReported && prepared >= since {
		add(model.StageMigrating, prepared)
	}
	if since, ok := t.MinSince(table.Migrating); ok && r.migrationElapsed(now, svc, since) {
		add(model.StageFinalizing, since)
	}
	if since, ok := t.MinSince(table.Finalizing); ok && allReported && fetched >= since {
		add(model.StageStable, fetched)
	}
	return out
}

// migrationElapsed reports whether the buckets that began to migrate at a version have
// done so for long enough that every older flow has been recorded or has ended.
func (r *Reconciler) migrationElapsed(now time.Duration, svc model.Service, since uint64) bool {
	key := migrationKey{service: svc.Name, since: since}
	at, ok := r.migratingSince[key]
	if !ok {
		r.migratingSince[key] = now
		return false
	}
	if now-at < time.Duration(svc.IdleTimeout)+idleTimeoutMargin {
		return false
	}
	return true
}

// memberProgress returns the lowest prepared and fetched versions of all members, and
// whether all of them have sent a heartbeat to this leader.
func (r *Reconciler) memberProgress(s *state.State) (prepared, fetched uint64, allReported bool) {
	prepared, fetched = s.Index(), s.Index()
	for _, member := range s.Instances() {
		lease, ok := r.instances[member.ID]
		if !ok || lease.heartbeat.Instance.Incarnation != member.Incarnation {
			return 0, 0, false
		}
		prepared = min(prepared, lease.heartbeat.Prepared)
		fetched = min(fetched, lease.heartbeat.Fetched)
	}
	return prepared, fetched, true
}
