package state

import (
	"fmt"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"boragepost/core/model"
	"boragepost/core/table"
)

// image is the serialized form of a State.
type image struct {
	Index    uint64                 `cbor:"1,keyasint"`
	NextID   model.ServerID         `cbor:"2,keyasint"`
	Services []model.Service        `cbor:"3,keyasint"`
	Servers  []model.BackendServer  `cbor:"4,keyasint"`
	Members  []model.Instance       `cbor:"5,keyasint"`
	Tables   map[string]table.Table `cbor:"6,keyasint"`
	Requests []requestResult        `cbor:"7,keyasint,omitempty"`
	Audit    []model.Audit          `cbor:"8,keyasint,omitempty"`
	Retired  map[string]retired     `cbor:"9,keyasint,omitempty"`
}

type requestResult struct {
	ID     string       `cbor:"1,keyasint"`
	Result model.Result `cbor:"2,keyasint"`
}

// Snapshot serializes the whole state.
func (s *State) Snapshot() ([]byte, error) {
	im := s.routing()
	im.Audit = s.audit
	for _, id := range s.results.order {
		im.Requests = append(im.Requests, requestResult{ID: id, Result: s.results.byID[id]})
	}
	return encode(im)
}

// RoutingSnapshot serializes the part of the state that entry instances need, without
// the audit trail and the remembered results.
func (s *State) RoutingSnapshot() ([]byte, error) { return encode(s.routing()) }

func (s *State) routing() image {
	closed := make(map[string]retired, len(s.retired))
	for addr, r := range s.retired {
		closed[addr.String()] = r
	}
	return image{
		Retired: closed,
		Index:   s.index, NextID: s.nextID,
		Services: s.Services(), Servers: s.Servers(), Members: s.Instances(), Tables: s.tables,
	}
}

func encode(im image) ([]byte, error) {
	data, err := cbor.Marshal(im)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return data, nil
}

// RestoreRoutingSnapshot returns the state that a routing snapshot holds. The feed that
// follows such a snapshot must leave out repeated commands, because a routing
// state does not remember results.
func RestoreRoutingSnapshot(data []byte) (*State, error) {
	s, err := Restore(data)
	if err != nil {
		return nil, err
	}
	s.routingOnly = true
	return s, nil
}

// Restore returns the state that a snapshot holds.
func Restore(data []byte) (*State, error) {
	var im image
	if err := cbor.Unmarshal(data, &im); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	s := New()
	s.index, s.nextID, s.audit = im.Index, im.NextID, im.Audit
	for _, v := range im.Services {
		s.services[v.Name] = v
	}
	for _, v := range im.Servers {
		s.servers.put(v)
	}
	for _, v := range im.Members {
		s.members[v.ID] = v
	}
	for name, t := range im.Tables {
		s.tables[name] = t
	}
	for text, r := range im.Retired {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("decode snapshot: retired address: %w", err)
		}
		s.retired[addr] = r
	}
	for _, r := range im.Requests {
		s.results.add(r.ID, r.Result)
	}
	return s, nil
}
