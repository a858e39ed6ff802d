package config

import (
	"slices"
)

// Evacuations is the set of availability zones whose backend servers get no new
// flows, by order of the operator. It is an immutable value. The zero value has no
// zone and precedes every other value.
type Evacuations struct {
	// Revision is the index of the log entry with the last order that took effect. A
	// receiver applies only a higher revision, whatever its source.
	Revision uint64 `cbor:"1,keyasint,omitempty"`
	// Zones are the evacuated availability zones, sorted.
	Zones []string `cbor:"2,keyasint,omitempty"`
}

// Contains reports whether a zone is evacuated.
func (e Evacuations) Contains(zone string) bool {
	_, found := slices.BinarySearch(e.Zones, zone)
	return found
}

// Missing returns the zones of e that are not in o.
func (e Evacuations) Missing(o Evacuations) []string {
	return slices.DeleteFunc(slices.Clone(e.Zones), o.Contains)
}

// With returns the set after an order that was committed at a log index, and whether
// the order has taken effect. One that holds already increases the revision, so that
// earlier orders that arrive late have no effect.
func (e Evacuations) With(index uint64, order EvacuationOrder) (Evacuations, bool) {
	if order.Base != e.Revision {
		return e, false
	}
	next := Evacuations{Revision: index, Zones: slices.Clone(e.Zones)}
	i, _ := slices.BinarySearch(next.Zones, order.Zone)
	switch {
	case order.HoldsIn(e):
	case order.End:
		next.Zones = slices.Delete(next.Zones, i, i+1)
	default:
		next.Zones = slices.Insert(next.Zones, i, order.Zone)
	}
	return next, true
}

// EvacuationOrder evacuates an availability zone, or ends its evacuation.
type EvacuationOrder struct {
	Zone string `cbor:"1,keyasint"`
	End  bool   `cbor:"2,keyasint,omitempty"`
	// Base is the revision that the order changes. An order with another base has no
	// effect. Otherwise a copy of an order that was delayed until after the opposite
	// order would undo that one.
	Base uint64 `cbor:"3,keyasint,omitempty"`
}

// HoldsIn reports whether a set is as ordered.
func (o EvacuationOrder) HoldsIn(e Evacuations) bool { return e.Contains(o.Zone) != o.End }

// Command is the data of a log entry: a configuration or an evacuation order. The
// encoding of a command with a configuration equals that of the configuration alone,
// which earlier versions wrote, and those versions decode an order as a configuration
// of version 0, which changes nothing.
type Command struct {
	// Configuration has version 0 if the command is an order.
	Configuration
	Evacuation *EvacuationOrder `cbor:"16,keyasint,omitempty"`
}
