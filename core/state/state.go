// Package state is the replicated state machine. Control replicas and entry
// instances apply the same commands in the same order and so hold the same
// services, backend servers, instances and bucket tables at each log index;
// only commands travel.
//
// # Usage
//
//	s := state.New()
//	result := s.Apply(index, command)
//	table := s.Table("yard")
//
// A State belongs to one goroutine. The tables and values that it returns are
// immutable and may be shared.
package state

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"boragepost/core/model"
	"boragepost/core/table"
)

// State holds everything that the log has established up to Index.
type State struct {
	index    uint64
	nextID   model.ServerID
	services map[string]model.Service
	servers  servers
	members  map[model.InstanceID]model.Instance
	tables   map[string]table.Table
	retired  map[netip.AddrPort]retired
	results  requestLog
	audit    []model.Audit
	// routingOnly states keep no audit trail and no remembered results.
	routingOnly bool
}

// New returns an empty state at index 0.
func New() *State {
	return &State{
		nextID:   1,
		services: map[string]model.Service{},
		servers:  newServers(),
		members:  map[model.InstanceID]model.Instance{},
		tables:   map[string]table.Table{},
		retired:  map[netip.AddrPort]retired{},
		results:  newRequestLog(),
	}
}

// Index returns the log index of the last applied command.
func (s *State) Index() uint64 { return s.index }

// Service returns a service by name.
func (s *State) Service(name string) (model.Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// Services returns all services by name.
func (s *State) Services() []model.Service {
	return sortedBy(s.services, func(v model.Service) string { return v.Name })
}

// Server returns a backend server by identifier.
func (s *State) Server(id model.ServerID) (model.BackendServer, bool) {
	v, ok := s.servers.byID[id]
	return v, ok
}

// Servers returns all backend servers by identifier.
func (s *State) Servers() []model.BackendServer {
	return sortedBy(s.servers.byID, func(v model.BackendServer) model.ServerID { return v.ID })
}

// ServersOf returns the backend servers of a service by identifier.
func (s *State) ServersOf(service string) []model.BackendServer { return s.servers.of(service) }

// ServerAt returns the backend server that receives packets at an address.
func (s *State) ServerAt(packets netip.AddrPort) (model.BackendServer, bool) {
	return s.servers.at(packets)
}

// Instances returns all entry instances by identifier.
func (s *State) Instances() []model.Instance {
	return sortedBy(s.members, func(v model.Instance) model.InstanceID { return v.ID })
}

// Members returns the identifiers of all entry instances, sorted.
func (s *State) Members() []model.InstanceID {
	return slices.Sorted(maps.Keys(s.members))
}

// Instance returns an entry instance by identifier.
func (s *State) Instance(id model.InstanceID) (model.Instance, bool) {
	v, ok := s.members[id]
	return v, ok
}

// Table returns the bucket table of a service; it has no buckets before the
// first backend server is announced.
func (s *State) Table(service string) table.Table { return s.tables[service] }

// Audit returns the audit trail from the given log index on, oldest first.
func (s *State) Audit(from uint64) []model.Audit {
	i, _ := slices.BinarySearchFunc(s.audit, from, func(a model.Audit, index uint64) int {
		return cmp.Compare(a.Index, index)
	})
	return slices.Clone(s.audit[i:])
}

func sortedBy[K comparable, V any, O cmp.Ordered](m map[K]V, key func(V) O) []V {
	out := slices.Collect(maps.Values(m))
	slices.SortFunc(out, func(a, b V) int { return cmp.Compare(key(a), key(b)) })
	return out
}

// Apply executes the command at a log index and returns its result. A command
// at or below Index changes nothing. The result depends only on the state and
// the command.
func (s *State) Apply(index uint64, c model.Command) model.Result {
	if index <= s.index {
		return model.Result{Index: s.index}
	}
	s.index = index
	if first, ok := s.results.find(c.RequestID); ok {
		first.Replayed = true
		return first
	}
	result := s.execute(index, c)
	result.Index = index
	if !s.routingOnly {
		s.results.add(c.RequestID, result)
	}
	return result
}

func (s *State) execute(index uint64, c model.Command) model.Result {
	switch {
	case c.PutService != nil:
		return s.putService(index, c)
	case c.DeleteService != nil:
		return s.deleteService(index, c)
	case c.Announce != nil:
		return s.announce(index, c)
	case c.Drain != nil:
		return s.drain(index, c)
	case c.RemoveServers != nil:
		return s.removeServers(index, c)
	case c.Join != nil:
		return s.join(index, c)
	case c.Leave != nil:
		return s.leave(index, c)
	case c.Advance != nil:
		return s.advance(index, c.Advance)
	default:
		return model.Result{}
	}
}

func (s *State) putService(index uint64, c model.Command) model.Result {
	put := c.PutService
	old, exists := s.services[put.Service.Name]
	if failure := s.checkPut(put, old); failure != nil {
		s.record(c, "put", "service/"+put.Service.Name, old.Generation, old.Generation, failure)
		return model.Result{Failure: failure}
	}
	next := put.Service.WithVersion(old.Generation+1, index)
	s.services[next.Name] = next
	s.record(c, "put", "service/"+next.Name, old.Generation, next.Generation, nil)
	if !exists || !slices.Equal(old.Zones, next.Zones) {
		s.rebalance(next.Name, index)
	}
	return model.Result{Generation: next.Generation}
}

func (s *State) checkPut(put *model.PutService, old model.Service) *model.CommandError {
	if faults := put.Service.Validate(); len(faults) > 0 {
		return &model.CommandError{Reason: model.ReasonInvalid, Message: faults[0].Error()}
	}
	if !put.Force && put.ExpectedVersion != old.ResourceVersion {
		return raceLost("service/"+put.Service.Name, put.ExpectedVersion, old.ResourceVersion)
	}
	for _, other := range s.services {
		if other.Name != put.Service.Name && other.Address == put.Service.Address {
			return &model.CommandError{
				Reason:  model.ReasonConflict,
				Message: fmt.Sprintf("address %v belongs to service/%s", other.Address, other.Name),
			}
		}
	}
	return nil
}

func raceLost(object string, expected, current uint64) *model.CommandError {
	return &model.CommandError{
		Reason:   model.ReasonConflict,
		Message:  object + " has changed",
		Expected: expected,
		Current:  current,
	}
}

func (s *State) deleteService(index uint64, c model.Command) model.Result {
	del := c.DeleteService
	object := "service/" + del.Name
	old, ok := s.services[del.Name]
	var failure *model.CommandError
	switch {
	case !ok:
		failure = &model.CommandError{Reason: model.ReasonNotFound, Message: object + " does not exist"}
	case !del.Force && del.ExpectedVersion != old.ResourceVersion:
		failure = raceLost(object, del.ExpectedVersion, old.ResourceVersion)
	}
	s.record(c, "delete", object, old.Generation, 0, failure)
	if failure != nil {
		return model.Result{Failure: failure}
	}
	delete(s.services, del.Name)
	delete(s.tables, del.Name)
	for _, b := range s.ServersOf(del.Name) {
		s.retire(b, c.Time)
	}
	return model.Result{Generation: old.Generation}
}

func (s *State) join(index uint64, c model.Command) model.Result {
	in := c.Join.Instance
	old, ok := s.members[in.ID]
	if ok && old.Incarnation >= in.Incarnation {
		return model.Result{}
	}
	in.ResourceVersion = index
	s.members[in.ID] = in
	s.record(c, "join", "instance/"+string(in.ID), old.Incarnation, in.Incarnation, nil)
	return model.Result{}
}

func (s *State) leave(_ uint64, c model.Command) model.Result {
	old, ok := s.members[c.Leave.ID]
	if !ok || old.Incarnation != c.Leave.Incarnation {
		return model.Result{}
	}
	delete(s.members, c.Leave.ID)
	s.record(c, "leave("+c.Leave.Reason+")", "instance/"+string(old.ID), old.Incarnation, 0, nil)
	return model.Result{}
}

func (s *State) advance(index uint64, a *model.Advance) model.Result {
	t, ok := s.tables[a.Service]
	if !ok {
		return model.Result{}
	}
	to := map[model.Stage]table.Stage{
		model.StageMigrating: table.Migrating, model.StageFinalizing: table.Finalizing, model.StageStable: table.Stable,
	}[a.Stage]
	s.tables[a.Service] = t.Advance(to, a.Through, index)
	return model.Result{}
}

// rebalance computes the table of a service from its backend servers. A table
// that has become too small doubles: each bucket splits into two with the same
// owner and stage, which changes no decision.
func (s *State) rebalance(name string, index uint64) {
	svc, ok := s.services[name]
	if !ok {
		return
	}
	var active []model.BackendServer
	alive := map[model.ServerID]bool{}
	for _, b := range s.ServersOf(name) {
		alive[b.ID] = true
		if b.Phase == model.Active && svc.AllowsZone(b.Zone) {
			active = append(active, b)
		}
	}
	t := s.tables[name].Expand(table.Size(len(active)))
	s.tables[name] = t.Rebalance(active, alive, index)
}

func (s *State) record(c model.Command, action, object string, from, to uint64, failure *model.CommandError) {
	if s.routingOnly {
		return
	}
	outcome := "accepted"
	if failure != nil {
		outcome = failure.Error()
	}
	s.audit = append(s.audit, model.Audit{
		Index: s.index, Time: c.Time, Actor: c.Actor, Action: action, Object: object,
		From: from, To: to, Outcome: outcome, RequestID: c.RequestID,
	})
	if len(s.audit) > maxAudit {
		s.audit = slices.Clone(s.audit[len(s.audit)-maxAudit/2:])
	}
}

// maxAudit bounds the audit records held in memory and in snapshots.
const maxAudit = 1 << 16
