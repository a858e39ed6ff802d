package plane

import (
	"boragepost/core/roster"
)

// ID returns the identifier of this replica, which is stored on its disk.
func (r *Replica) ID() string { return r.id }

// Voters returns the identifiers of the voters in this replica's log, or nil once
// it has stopped.
func (r *Replica) Voters() []string {
	var out []string
	r.runOnLoop(r.ctx, func() { out = r.node.Voters() })
	return out
}

// Leader returns the identifier of the leader known to this replica, or "".
func (r *Replica) Leader() string {
	leader := ""
	r.runOnLoop(r.ctx, func() { leader = r.node.Leader() })
	return leader
}

// Servers returns the records of all backend servers in this replica's roster,
// including those that are gone, ordered by identifier.
func (r *Replica) Servers() []roster.Server { return r.registry.all() }

// LinkBytes returns the payload bytes that links to replicas and entry instances have
// carried, both ways.
func (r *Replica) LinkBytes() int64 { return r.meter.Total() }
