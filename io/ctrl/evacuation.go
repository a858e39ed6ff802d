package ctrl

import (
	"net/http"

	"boragepost/core/model"
)

// EvacuationView is an evacuated availability zone with its status.
type EvacuationView struct {
	model.Evacuation
	Status EvacuationStatus `json:"status"`
}

// EvacuationStatus describes how far an evacuation has taken effect. A zone without
// backend servers may be a misspelt one.
type EvacuationStatus struct {
	BackendServers int `json:"backendServers"`
	// Buckets is the number of buckets whose new flows still go to the zone.
	Buckets int `json:"buckets"`
	// Zones are the availability zones of the entry instances. An order is in force where
	// they have applied it and the moves of the buckets that follow from it.
	Zones []ZoneCondition `json:"zones"`
}

func (r *Replica) listEvacuations(w http.ResponseWriter, req *http.Request) {
	zoneConditions := r.zoneConditions(req.Context())
	list := List[EvacuationView]{Items: []EvacuationView{}}
	if !r.readState(w, req, func() {
		list.ResourceVersion = r.state.Index()
		for _, e := range r.state.Evacuations() {
			list.Items = append(list.Items, r.newEvacuationView(e, zoneConditions))
		}
	}) {
		return
	}
	writeJSON(w, http.StatusOK, list.ResourceVersion, list)
}

func (r *Replica) getEvacuation(w http.ResponseWriter, req *http.Request) {
	zone := req.PathValue("zone")
	if !acceptZone(w, zone) {
		return
	}
	zoneConditions := r.zoneConditions(req.Context())
	var view EvacuationView
	var found bool
	var version uint64
	if !r.readState(w, req, func() {
		version = r.state.Index()
		for _, e := range r.state.Evacuations() {
			if e.Zone == zone {
				view, found = r.newEvacuationView(e, zoneConditions), true
			}
		}
	}) {
		return
	}
	if !found {
		writeCommandError(w, &model.CommandError{Reason: model.ReasonNotFound,
			Message: "evacuation/" + zone + " does not exist"})
		return
	}
	writeJSON(w, http.StatusOK, version, view)
}

// newEvacuationView must run on the event loop.
func (r *Replica) newEvacuationView(e model.Evacuation, zones []ZoneCondition) EvacuationView {
	v := EvacuationView{Evacuation: e}
	var movedAt uint64
	v.Status.BackendServers, v.Status.Buckets, movedAt = r.state.ZoneUse(e.Zone)
	for _, z := range zones {
		z.InForce = z.ObservedVersion >= max(e.ResourceVersion, movedAt)
		v.Status.Zones = append(v.Status.Zones, z)
	}
	return v
}

func (r *Replica) putEvacuation(w http.ResponseWriter, req *http.Request) {
	r.submitEvacuate(w, req, false)
}

func (r *Replica) deleteEvacuation(w http.ResponseWriter, req *http.Request) {
	r.submitEvacuate(w, req, true)
}

// submitEvacuate submits an order. Unlike for a service, If-Match is optional: an order
// replaces nothing that its author could have overlooked.
func (r *Replica) submitEvacuate(w http.ResponseWriter, req *http.Request, end bool) {
	order := model.Evacuate{Zone: req.PathValue("zone"), End: end, Force: true}
	if !acceptZone(w, order.Zone) {
		return
	}
	if req.Header.Get("If-Match") != "" {
		var ok bool
		if order.ExpectedVersion, order.Force, ok = precondition(w, req); !ok {
			return
		}
	}
	r.submit(w, req, model.Command{Evacuate: &order})
}

// acceptZone reports whether the name of a zone is valid. Otherwise it writes a problem.
func acceptZone(w http.ResponseWriter, zone string) bool {
	errs := model.ValidateZone(zone)
	if len(errs) > 0 {
		writeProblem(w, Problem{Title: "invalid", Status: http.StatusUnprocessableEntity, Fields: errs})
	}
	return len(errs) == 0
}
