package state

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"boragepost/core/model"
)

// servers indexes the backend servers, so that the cost of a command does not grow
// with the size of the deployment.
type servers struct {
	byID      map[model.ServerID]model.BackendServer
	byPackets map[netip.AddrPort]model.ServerID
	byService map[string][]model.ServerID // ascending
}

func newServers() servers {
	return servers{
		byID:      map[model.ServerID]model.BackendServer{},
		byPackets: map[netip.AddrPort]model.ServerID{},
		byService: map[string][]model.ServerID{},
	}
}

// put adds or replaces a backend server. A new one must have a higher identifier
// than all earlier ones, which keeps byService in ascending order.
func (s *servers) put(b model.BackendServer) {
	if _, exists := s.byID[b.ID]; !exists {
		s.byService[b.Service] = append(s.byService[b.Service], b.ID)
	}
	s.byID[b.ID] = b
	s.byPackets[b.Packets] = b.ID
}

func (s *servers) remove(b model.BackendServer) {
	delete(s.byID, b.ID)
	if s.byPackets[b.Packets] == b.ID {
		delete(s.byPackets, b.Packets)
	}
	rest := slices.DeleteFunc(s.byService[b.Service], func(id model.ServerID) bool { return id == b.ID })
	if len(rest) == 0 {
		delete(s.byService, b.Service)
		return
	}
	s.byService[b.Service] = rest
}

// inService returns the backend servers of a service in the order of their
// identifiers.
func (s *servers) inService(service string) []model.BackendServer {
	ids := s.byService[service]
	out := make([]model.BackendServer, len(ids))
	for i, id := range ids {
		out[i] = s.byID[id]
	}
	return out
}

// atAddress returns the backend server that receives packets at an address.
func (s *servers) atAddress(packets netip.AddrPort) (model.BackendServer, bool) {
	b, ok := s.byID[s.byPackets[packets]]
	return b, ok
}

func (s *State) announce(index uint64, c model.Command) model.Result {
	b := c.Announce.Server
	if _, ok := s.services[b.Service]; !ok {
		return model.Result{Failure: &model.CommandError{
			Reason: model.ReasonNotFound, Message: "service/" + b.Service + " does not exist"}}
	}
	if old, ok := s.ServerAt(b.Packets); ok && old.SameIncarnation(b) {
		return model.Result{ServerID: old.ID}
	}
	if failure := s.validateAnnounce(b, c.Time); failure != nil {
		return model.Result{Failure: failure}
	}
	for _, old := range s.ServersOf(b.Service) {
		if old.Name == b.Name || old.Packets == b.Packets {
			s.servers.remove(old)
		}
	}
	b.ID = s.nextID
	s.nextID++
	s.servers.put(b.WithPhase(model.Active, index))
	s.appendAudit(c, "announce", "backendServer/"+b.Service+"/"+b.Name, 0, uint64(b.ID), nil)
	s.rebalance(b.Service, index)
	return model.Result{ServerID: b.ID}
}

// validateAnnounce rejects an announcement that would take an address away from
// another service, and a late announcement of an older incarnation.
func (s *State) validateAnnounce(b model.BackendServer, now int64) *model.CommandError {
	for _, old := range s.ServersOf(b.Service) {
		if old.Name == b.Name && old.Incarnation > b.Incarnation {
			return &model.CommandError{Reason: model.ReasonConflict,
				Message: "a later incarnation of " + b.Name + " is announced"}
		}
	}
	if old, ok := s.ServerAt(b.Packets); ok && old.Service != b.Service {
		return &model.CommandError{Reason: model.ReasonConflict,
			Message: fmt.Sprintf("address %v is in use by service/%s", b.Packets, old.Service)}
	}
	last, ok := s.quarantined[b.Packets]
	if ok && last.Service != b.Service && now < last.Until {
		return &model.CommandError{Reason: model.ReasonConflict,
			Message: fmt.Sprintf("address %v is in quarantine after service/%s", b.Packets, last.Service)}
	}
	delete(s.quarantined, b.Packets)
	return nil
}

// quarantine removes a backend server and quarantines its address, so that an
// instance with stale state cannot send packets of the old service to a backend
// server of another service.
func (s *State) quarantine(b model.BackendServer, now int64) {
	s.servers.remove(b)
	s.quarantined[b.Packets] = quarantined{Service: b.Service, Until: now + Quarantine.Milliseconds()}
	for addr, r := range s.quarantined {
		if r.Until < now {
			delete(s.quarantined, addr)
		}
	}
}

// quarantined holds the last service of an address and the end of its
// quarantine.
type quarantined struct {
	Service string `cbor:"1,keyasint"`
	Until   int64  `cbor:"2,keyasint"` // Unix time in milliseconds
}

// Quarantine is the time for which other services cannot use the address of a
// removed backend server. It is much longer than the time for which an instance
// without a lease uses addresses that it cannot verify.
const Quarantine = 30 * time.Second

func (s *State) drain(index uint64, c model.Command) model.Result {
	object := "backendServer/" + c.Drain.Service + "/" + c.Drain.Name
	for _, b := range s.ServersOf(c.Drain.Service) {
		if b.Name != c.Drain.Name {
			continue
		}
		if b.Phase == model.Draining {
			return model.Result{ServerID: b.ID}
		}
		timeout := time.Duration(s.services[b.Service].DrainTimeout)
		b.DrainUntil = c.Time + timeout.Milliseconds()
		s.servers.put(b.WithPhase(model.Draining, index))
		s.appendAudit(c, "drain", object, 0, uint64(b.ID), nil)
		s.rebalance(b.Service, index)
		return model.Result{ServerID: b.ID}
	}
	failure := &model.CommandError{Reason: model.ReasonNotFound, Message: object + " does not exist"}
	s.appendAudit(c, "drain", object, 0, 0, failure)
	return model.Result{Failure: failure}
}

func (s *State) removeServers(index uint64, c model.Command) model.Result {
	affected := map[string]bool{}
	for _, id := range c.RemoveServers.IDs {
		b, ok := s.Server(id)
		if !ok {
			continue
		}
		s.quarantine(b, c.Time)
		affected[b.Service] = true
		s.appendAudit(c, "remove("+c.RemoveServers.Reason+")", "backendServer/"+b.Service+"/"+b.Name, uint64(id), 0, nil)
	}
	for _, name := range slices.Sorted(maps.Keys(affected)) {
		s.rebalance(name, index)
	}
	return model.Result{}
}
