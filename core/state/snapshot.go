package state

import (
	"fmt"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"boragepost/core/model"
	"boragepost/core/table"
)

// snapshot is the serialized form of a State.
type snapshot struct {
	Index       uint64                 `cbor:"1,keyasint"`
	NextID      model.ServerID         `cbor:"2,keyasint"`
	Services    []model.Service        `cbor:"3,keyasint"`
	Servers     []model.BackendServer  `cbor:"4,keyasint"`
	Instances   []model.Instance       `cbor:"5,keyasint"`
	Tables      map[string]table.Table `cbor:"6,keyasint"`
	Requests    []requestResult        `cbor:"7,keyasint,omitempty"`
	Audit       []model.Audit          `cbor:"8,keyasint,omitempty"`
	Quarantined map[string]quarantined `cbor:"9,keyasint,omitempty"`
	// Snapshots of versions without evacuations lack the fields below.
	Evacuations       []model.Evacuation `cbor:"10,keyasint,omitempty"`
	EvacuationVersion uint64             `cbor:"11,keyasint,omitempty"`
}

type requestResult struct {
	ID     string       `cbor:"1,keyasint"`
	Result model.Result `cbor:"2,keyasint"`
}

// Snapshot serializes the whole state.
func (s *State) Snapshot() ([]byte, error) {
	snap := s.routingSnapshot()
	snap.Audit = s.audit
	for _, id := range s.results.order {
		snap.Requests = append(snap.Requests, requestResult{ID: id, Result: s.results.byID[id]})
	}
	return encode(snap)
}

// RoutingSnapshot serializes the part of the state that entry instances need: all
// but the audit trail and the stored results.
func (s *State) RoutingSnapshot() ([]byte, error) { return encode(s.routingSnapshot()) }

func (s *State) routingSnapshot() snapshot {
	addrs := make(map[string]quarantined, len(s.quarantined))
	for addr, r := range s.quarantined {
		addrs[addr.String()] = r
	}
	return snapshot{
		Quarantined: addrs,
		Index:       s.index, NextID: s.nextID,
		Services: s.Services(), Servers: s.Servers(), Instances: s.Instances(), Tables: s.tables,
		Evacuations: s.Evacuations(), EvacuationVersion: s.evacuationVersion,
	}
}

func encode(snap snapshot) ([]byte, error) {
	data, err := cbor.Marshal(snap)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return data, nil
}

// RestoreRoutingSnapshot returns the state that a routing snapshot holds. The
// caller must not apply commands that repeat an earlier request, because such a
// state stores no results by which it could recognize them.
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
	var snap snapshot
	if err := cbor.Unmarshal(data, &snap); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	s := New()
	s.index, s.nextID, s.audit = snap.Index, snap.NextID, snap.Audit
	s.evacuationVersion = snap.EvacuationVersion
	for _, v := range snap.Evacuations {
		s.evacuations[v.Zone] = v
	}
	for _, v := range snap.Services {
		s.services[v.Name] = v
	}
	for _, v := range snap.Servers {
		s.servers.put(v)
	}
	for _, v := range snap.Instances {
		s.instances[v.ID] = v
	}
	for name, t := range snap.Tables {
		s.tables[name] = t
	}
	for text, r := range snap.Quarantined {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("decode snapshot: quarantined address: %w", err)
		}
		s.quarantined[addr] = r
	}
	for _, r := range snap.Requests {
		s.results.add(r.ID, r.Result)
	}
	return s, nil
}
