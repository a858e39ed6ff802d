package plane

import (
	"boragepost/core/roster"
)

// ID returns the identifier of this replica, which belongs to its disk.
func (r *Replica) ID() string { return r.id }

// Voters returns the identifiers of the voting replicas as this replica knows
// them, or nothing once it has stopped.
func (r *Replica) Voters() []string {
	var out []string
	r.read(r.ctx, func() { out = r.node.Voters() })
	return out
}

// Leader returns the identifier of the leader as this replica knows it, or "".
func (r *Replica) Leader() string {
	leader := ""
	r.read(r.ctx, func() { leader = r.node.Leader() })
	return leader
}

// Servers returns the backend servers that this replica knows, gone ones
// included, in the order of their identifiers.
func (r *Replica) Servers() []roster.Server { return r.registry.all() }
