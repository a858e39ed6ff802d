package state

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"boragepost/core/model"
)

// servers holds the backend servers with the indexes that commands need, so that
// a command costs no more in a large deployment than in a small one.
type servers struct {
	byID      map[model.ServerID]model.BackendServer
	byPackets map[netip.AddrPort]model.ServerID
	ofService map[string][]model.ServerID // ascending
}

func newServers() servers {
	return servers{
		byID:      map[model.ServerID]model.BackendServer{},
		byPackets: map[netip.AddrPort]model.ServerID{},
		ofService: map[string][]model.ServerID{},
	}
}

// put adds or replaces a backend server. A new one has a higher identifier than
// all before it.
func (s *servers) put(b model.BackendServer) {
	if _, known := s.byID[b.ID]; !known {
		s.ofService[b.Service] = append(s.ofService[b.Service], b.ID)
	}
	s.byID[b.ID] = b
	s.byPackets[b.Packets] = b.ID
}

func (s *servers) remove(b model.BackendServer) {
	delete(s.byID, b.ID)
	if s.byPackets[b.Packets] == b.ID {
		delete(s.byPackets, b.Packets)
	}
	rest := slices.DeleteFunc(s.ofService[b.Service], func(id model.ServerID) bool { return id == b.ID })
	if len(rest) == 0 {
		delete(s.ofService, b.Service)
		return
	}
	s.ofService[b.Service] = rest
}

// of returns the backend servers of a service by identifier.
func (s *servers) of(service string) []model.BackendServer {
	ids := s.ofService[service]
	out := make([]model.BackendServer, len(ids))
	for i, id := range ids {
		out[i] = s.byID[id]
	}
	return out
}

// at returns the backend server that receives packets at an address.
func (s *servers) at(packets netip.AddrPort) (model.BackendServer, bool) {
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
	if failure := s.checkAnnounce(b, c.Time); failure != nil {
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
	s.record(c, "announce", "backendServer/"+b.Service+"/"+b.Name, 0, uint64(b.ID), nil)
	s.rebalance(b.Service, index)
	return model.Result{ServerID: b.ID}
}

// checkAnnounce refuses an announcement that would take an address away from
// another service, or that an older incarnation sent late.
func (s *State) checkAnnounce(b model.BackendServer, now int64) *model.CommandError {
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
	last, ok := s.retired[b.Packets]
	if ok && last.Service != b.Service && now < last.Until {
		return &model.CommandError{Reason: model.ReasonConflict,
			Message: fmt.Sprintf("address %v is in quarantine after service/%s", b.Packets, last.Service)}
	}
	delete(s.retired, b.Packets)
	return nil
}

// retire removes a backend server and puts its address into quarantine, so that
// no instance with old state can send packets of the old service to a backend
// server of another one.
func (s *State) retire(b model.BackendServer, now int64) {
	s.servers.remove(b)
	s.retired[b.Packets] = retired{Service: b.Service, Until: now + Quarantine.Milliseconds()}
	for addr, r := range s.retired {
		if r.Until < now {
			delete(s.retired, addr)
		}
	}
}

// retired is the former use of an address.
type retired struct {
	Service string `cbor:"1,keyasint"`
	Until   int64  `cbor:"2,keyasint"` // Unix time in milliseconds
}

// Quarantine is the time for which the address of a removed backend server
// stays closed to other services. An instance without a lease stops using
// addresses that it cannot verify well before that.
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
		limit := time.Duration(s.services[b.Service].DrainTimeout)
		b.DrainUntil = c.Time + limit.Milliseconds()
		s.servers.put(b.WithPhase(model.Draining, index))
		s.record(c, "drain", object, 0, uint64(b.ID), nil)
		s.rebalance(b.Service, index)
		return model.Result{ServerID: b.ID}
	}
	failure := &model.CommandError{Reason: model.ReasonNotFound, Message: object + " does not exist"}
	s.record(c, "drain", object, 0, 0, failure)
	return model.Result{Failure: failure}
}

func (s *State) removeServers(index uint64, c model.Command) model.Result {
	touched := map[string]bool{}
	for _, id := range c.RemoveServers.IDs {
		b, ok := s.Server(id)
		if !ok {
			continue
		}
		s.retire(b, c.Time)
		touched[b.Service] = true
		s.record(c, "remove("+c.RemoveServers.Reason+")", "backendServer/"+b.Service+"/"+b.Name, uint64(id), 0, nil)
	}
	for _, name := range slices.Sorted(maps.Keys(touched)) {
		s.rebalance(name, index)
	}
	return model.Result{}
}
