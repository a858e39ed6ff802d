package state

import (
	"net/netip"
	"slices"

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
