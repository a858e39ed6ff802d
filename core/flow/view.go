package flow

import (
	"net/netip"
	"sync/atomic"

	"boragepost/core/model"
	"boragepost/core/place"
	"boragepost/core/state"
	"boragepost/core/table"
)

// Target is the packet address of a backend server, and whether it is draining or in
// an evacuated availability zone.
type Target struct {
	Packets             netip.AddrPort
	Draining, Evacuated bool
}

// Route is one service at a version of the replicated state.
type Route struct {
	Service string
	ID      uint32 // hash of the service name
	Idle    int64  // idle timeout in nanoseconds
	Table   table.Table
	Targets map[model.ServerID]Target
	// Refuses is set if new flows are refused because all active backend servers are
	// in evacuated zones.
	Refuses bool
	// fetchedVersion is the version through which the pinned flows have been
	// fetched.
	fetchedVersion atomic.Uint64
}

// hasServer reports whether the backend server still belongs to the route.
func (r *Route) hasServer(id model.ServerID) bool {
	_, ok := r.Targets[id]
	return ok
}

// isNewFlow reports whether a packet of an unrecorded flow counts as the flow's
// first. UDP does not mark first packets, so an unrecorded UDP flow counts as old
// while the previous owner takes new flows, and as new once that is draining,
// evacuated or removed.
func (r *Route) isNewFlow(b table.Bucket, start, udp bool) bool {
	previous, registered := r.Targets[b.PrevOwner]
	return start || udp && (previous.Draining || previous.Evacuated || !registered)
}

// withoutPrimary returns the backend server of an unrecorded flow in autonomous
// mode: in a moving bucket the previous owner, also for new flows, because a primary
// that other instances can still reach takes later packets of the flow for those of
// an old one. An evacuated previous owner gets no new flows even then, and a bucket
// that had no owner during an evacuation has no old flows without a record.
func (r *Route) withoutPrimary(b table.Bucket, start bool) model.ServerID {
	server := b.Choose(false)
	if start && (server == 0 || r.Targets[server].Evacuated) {
		return b.Owner
	}
	return server
}

// noServerReason returns the reason for which a flow without a backend server is
// dropped.
func (r *Route) noServerReason() Reason {
	if r.Refuses {
		return ZoneEvacuated
	}
	return NoServer
}

// View is an immutable snapshot of the replicated state for packet decisions.
// Only the fetched versions of its routes change.
type View struct {
	Version uint64
	Routes  map[netip.AddrPort]*Route

	byService map[string]*Route
	byID      map[uint32]*Route
	byServer  map[model.ServerID]*Route
}

// NewView returns the view of a state.
func NewView(s *state.State) *View {
	v := &View{
		Version:   s.Index(),
		Routes:    map[netip.AddrPort]*Route{},
		byService: map[string]*Route{},
		byID:      map[uint32]*Route{},
		byServer:  map[model.ServerID]*Route{},
	}
	for _, svc := range s.Services() {
		r := &Route{
			Service: svc.Name, ID: uint32(place.Hash(svc.Name)), Idle: int64(svc.IdleTimeout), Table: s.Table(svc.Name),
			Targets: map[model.ServerID]Target{}, Refuses: s.RefusesNewFlows(svc.Name),
		}
		v.Routes[svc.Address] = r
		v.byService[svc.Name] = r
		v.byID[r.ID] = r
	}
	for _, b := range s.Servers() {
		if r := v.byService[b.Service]; r != nil {
			v.byServer[b.ID] = r
			r.Targets[b.ID] = Target{Packets: b.Packets, Draining: b.Phase == model.Draining, Evacuated: s.IsEvacuated(b.Zone)}
		}
	}
	return v
}

// HasPendingMoves reports whether a bucket is in the stage Preparing or
// Finalizing, which wait for the progress of the instances.
func (v *View) HasPendingMoves() bool {
	for _, r := range v.Routes {
		for _, m := range r.Table.Moves {
			if m.Stage == table.Preparing || m.Stage == table.Finalizing {
				return true
			}
		}
	}
	return false
}

// Route returns the route of a service, or nil.
func (v *View) Route(service string) *Route { return v.byService[service] }
