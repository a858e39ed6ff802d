package state

import (
	"fmt"
	"maps"
	"slices"

	"boragepost/core/model"
	"boragepost/core/table"
)

// maxEvacuations bounds the set of evacuated zones. The names are not checked against
// a list, so without a bound repeated orders could grow the state without limit.
const maxEvacuations = 1024

// Evacuations returns the evacuated availability zones in the order of their names.
func (s *State) Evacuations() []model.Evacuation {
	return sortedBy(s.evacuations, func(v model.Evacuation) string { return v.Zone })
}

// EvacuatedZones returns the names of the evacuated availability zones, sorted.
func (s *State) EvacuatedZones() []string { return slices.Sorted(maps.Keys(s.evacuations)) }

// EvacuationVersion returns the log index of the latest change of the evacuated
// zones, or 0 before the first one.
func (s *State) EvacuationVersion() uint64 { return s.evacuationVersion }

// IsEvacuated reports whether an availability zone is evacuated.
func (s *State) IsEvacuated(zone string) bool {
	_, ok := s.evacuations[zone]
	return ok
}

// RefusesNewFlows reports whether a service has active backend servers but all of
// them are in evacuated zones.
func (s *State) RefusesNewFlows(service string) bool {
	evacuated := false
	for _, b := range s.ServersOf(service) {
		if b.Phase != model.Active || !s.services[service].AllowsZone(b.Zone) {
			continue
		}
		if !s.IsEvacuated(b.Zone) {
			return false
		}
		evacuated = true
	}
	return evacuated
}

// ZoneUse returns the number of backend servers in an availability zone, the number of
// buckets whose new flows still go to them, and the log index at which the latest bucket
// began to send its new flows elsewhere, or 0.
func (s *State) ZoneUse(zone string) (servers, buckets int, movedAt uint64) {
	inZone := map[model.ServerID]bool{}
	for _, b := range s.servers.byID {
		if b.Zone == zone {
			inZone[b.ID] = true
		}
	}
	for _, t := range s.tables {
		for i := range t.Len() {
			b := t.At(i)
			if inZone[b.Choose(true)] {
				buckets++
			}
			if b.Stage == table.Migrating && inZone[b.PrevOwner] {
				movedAt = max(movedAt, b.Since)
			}
		}
	}
	return len(inZone), buckets, movedAt
}

func (s *State) evacuate(index uint64, c model.Command) model.Result {
	order := c.Evacuate
	object := "evacuation/" + order.Zone
	action, from, to := "put", uint64(0), uint64(1)
	if order.End {
		action, from, to = "delete", 1, 0
	}
	old, exists := s.evacuations[order.Zone]
	if failure := s.validateEvacuate(order, old, exists); failure != nil {
		s.appendAudit(c, action, object, 0, 0, failure)
		return model.Result{Failure: failure}
	}
	if exists == !order.End {
		return model.Result{Generation: 1}
	}
	s.evacuationVersion = index
	if order.End {
		delete(s.evacuations, order.Zone)
	} else {
		s.evacuations[order.Zone] = model.Evacuation{Zone: order.Zone, ResourceVersion: index}
	}
	s.appendAudit(c, action, object, from, to, nil)
	for _, svc := range s.Services() {
		for _, b := range s.ServersOf(svc.Name) {
			if b.Zone == order.Zone {
				s.rebalance(svc.Name, index)
				break
			}
		}
	}
	return model.Result{Generation: 1}
}

func (s *State) validateEvacuate(order *model.Evacuate, old model.Evacuation, exists bool) *model.CommandError {
	object := "evacuation/" + order.Zone
	if errs := model.ValidateZone(order.Zone); len(errs) > 0 {
		return &model.CommandError{Reason: model.ReasonInvalid, Message: errs[0].Error()}
	}
	switch {
	case order.End && !exists:
		return &model.CommandError{Reason: model.ReasonNotFound, Message: object + " does not exist"}
	case !order.Force && order.ExpectedVersion != old.ResourceVersion:
		return versionMismatch(object, order.ExpectedVersion, old.ResourceVersion)
	case !exists && len(s.evacuations) >= maxEvacuations:
		return &model.CommandError{Reason: model.ReasonConflict,
			Message: fmt.Sprintf("%d zones are evacuated already", maxEvacuations)}
	}
	return nil
}
