// Package state is the replicated state machine. Control replicas and entry
// instances apply the same commands in the same order, so they hold the same
// services, backend servers, instances and bucket tables at each log index, and
// only the commands have to be sent.
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

// State is the result of all commands of the log up to Index.
type State struct {
	index       uint64
	nextID      model.ServerID
	services    map[string]model.Service
	servers     servers
	instances   map[model.InstanceID]model.Instance
	tables      map[string]table.Table
	quarantined map[netip.AddrPort]quarantined
	evacuations map[string]model.Evacuation // by zone
	// evacuationVersion is the log index of the latest change of evacuations.
	evacuationVersion uint64
	results           resultCache
	audit             []model.Audit
	// routingOnly is set for a state without audit trail and stored results.
	routingOnly bool
}

// New returns an empty state at index 0.
func New() *State {
	return &State{
		nextID:      1,
		services:    map[string]model.Service{},
		servers:     newServers(),
		instances:   map[model.InstanceID]model.Instance{},
		tables:      map[string]table.Table{},
		quarantined: map[netip.AddrPort]quarantined{},
		evacuations: map[string]model.Evacuation{},
		results:     newResultCache(),
	}
}

// Index returns the log index of the last applied command.
func (s *State) Index() uint64 { return s.index }

// Service returns a service by name.
func (s *State) Service(name string) (model.Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// Services returns all services in the order of their names.
func (s *State) Services() []model.Service {
	return sortedBy(s.services, func(v model.Service) string { return v.Name })
}

// Server returns a backend server by identifier.
func (s *State) Server(id model.ServerID) (model.BackendServer, bool) {
	v, ok := s.servers.byID[id]
	return v, ok
}

// Servers returns all backend servers in the order of their identifiers.
func (s *State) Servers() []model.BackendServer {
	return sortedBy(s.servers.byID, func(v model.BackendServer) model.ServerID { return v.ID })
}

// ServersOf returns the backend servers of a service in the order of their
// identifiers.
func (s *State) ServersOf(service string) []model.BackendServer { return s.servers.inService(service) }

// ServerAt returns the backend server that receives packets at an address.
func (s *State) ServerAt(packets netip.AddrPort) (model.BackendServer, bool) {
	return s.servers.atAddress(packets)
}

// Instances returns all entry instances in the order of their identifiers.
func (s *State) Instances() []model.Instance {
	return sortedBy(s.instances, func(v model.Instance) model.InstanceID { return v.ID })
}

// Members returns the identifiers of all entry instances, sorted.
func (s *State) Members() []model.InstanceID {
	return slices.Sorted(maps.Keys(s.instances))
}

// Instance returns an entry instance by identifier.
func (s *State) Instance(id model.InstanceID) (model.Instance, bool) {
	v, ok := s.instances[id]
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
	if stored, ok := s.results.find(c.RequestID); ok {
		stored.Replayed = true
		return stored
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
	case c.Evacuate != nil:
		return s.evacuate(index, c)
	default:
		return model.Result{}
	}
}

func (s *State) putService(index uint64, c model.Command) model.Result {
	put := c.PutService
	old, exists := s.services[put.Service.Name]
	if failure := s.validatePut(put, old); failure != nil {
		s.appendAudit(c, "put", "service/"+put.Service.Name, old.Generation, old.Generation, failure)
		return model.Result{Failure: failure}
	}
	next := put.Service.WithVersion(old.Generation+1, index)
	s.services[next.Name] = next
	s.appendAudit(c, "put", "service/"+next.Name, old.Generation, next.Generation, nil)
	if !exists || !slices.Equal(old.Zones, next.Zones) {
		s.rebalance(next.Name, index)
	}
	return model.Result{Generation: next.Generation}
}

func (s *State) validatePut(put *model.PutService, old model.Service) *model.CommandError {
	if errs := put.Service.Validate(); len(errs) > 0 {
		return &model.CommandError{Reason: model.ReasonInvalid, Message: errs[0].Error()}
	}
	if !put.Force && put.ExpectedVersion != old.ResourceVersion {
		return versionMismatch("service/"+put.Service.Name, put.ExpectedVersion, old.ResourceVersion)
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

func versionMismatch(object string, expected, current uint64) *model.CommandError {
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
		failure = versionMismatch(object, del.ExpectedVersion, old.ResourceVersion)
	}
	s.appendAudit(c, "delete", object, old.Generation, 0, failure)
	if failure != nil {
		return model.Result{Failure: failure}
	}
	delete(s.services, del.Name)
	delete(s.tables, del.Name)
	for _, b := range s.ServersOf(del.Name) {
		s.quarantine(b, c.Time)
	}
	return model.Result{Generation: old.Generation}
}

func (s *State) join(index uint64, c model.Command) model.Result {
	in := c.Join.Instance
	old, ok := s.instances[in.ID]
	if ok && old.Incarnation >= in.Incarnation {
		return model.Result{}
	}
	in.ResourceVersion = index
	s.instances[in.ID] = in
	s.appendAudit(c, "join", "instance/"+string(in.ID), old.Incarnation, in.Incarnation, nil)
	return model.Result{}
}

func (s *State) leave(_ uint64, c model.Command) model.Result {
	old, ok := s.instances[c.Leave.ID]
	if !ok || old.Incarnation != c.Leave.Incarnation {
		return model.Result{}
	}
	delete(s.instances, c.Leave.ID)
	s.appendAudit(c, "leave("+c.Leave.Reason+")", "instance/"+string(old.ID), old.Incarnation, 0, nil)
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

// rebalance recomputes the table of a service from its backend servers. A table
// that has become too small is doubled first: each bucket splits into two with
// the same owner and stage, so no flow changes its backend server.
func (s *State) rebalance(name string, index uint64) {
	svc, ok := s.services[name]
	if !ok {
		return
	}
	var active []model.BackendServer
	registered := map[model.ServerID]bool{}
	// Before the first order the map is nil, so that replicas of all versions hold the
	// same table.
	var evacuated map[model.ServerID]bool
	if s.evacuationVersion > 0 {
		evacuated = map[model.ServerID]bool{}
	}
	for _, b := range s.ServersOf(name) {
		registered[b.ID] = true
		switch {
		case s.IsEvacuated(b.Zone):
			evacuated[b.ID] = true
		case b.Phase == model.Active && svc.AllowsZone(b.Zone):
			active = append(active, b)
		}
	}
	t := s.tables[name].Expand(table.Size(len(active)))
	s.tables[name] = t.Rebalance(active, registered, evacuated, index)
}

func (s *State) appendAudit(c model.Command, action, object string, from, to uint64, failure *model.CommandError) {
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
	if len(s.audit) > maxAuditRecords {
		s.audit = slices.Clone(s.audit[len(s.audit)-maxAuditRecords/2:])
	}
}

// maxAuditRecords bounds the audit trail in memory and in snapshots.
const maxAuditRecords = 1 << 16
