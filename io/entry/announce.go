package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"boragepost/core/model"
	"boragepost/io/proto"
)

const (
	maxAnnouncementBytes = 16 << 10
	announceTimeout      = 3 * time.Second
	maxSlots             = 1 << 16
	maxWeight            = 1 << 10
	maxNameBytes         = 253
)

// Announcement is the body that a backend server posts once a second to
// /v1/announce on the peer endpoint of any entry instance.
type Announcement struct {
	Service     string         `json:"service"`
	Name        string         `json:"name"`
	Zone        string         `json:"zone"`
	Packets     netip.AddrPort `json:"packets"`
	HTTP        netip.AddrPort `json:"http"`
	Slots       int            `json:"slots"`
	Weight      int            `json:"weight"`
	Incarnation uint64         `json:"incarnation"`
}

// Validate returns all validation errors of an announcement.
func (a Announcement) Validate() []model.FieldError {
	var errs []model.FieldError
	check := func(ok bool, path, text string) {
		if !ok {
			errs = append(errs, model.FieldError{Path: path, Text: text})
		}
	}
	text := func(path, v string) {
		check(v != "" && len(v) <= maxNameBytes, path, fmt.Sprintf("must have 1 to %d bytes", maxNameBytes))
	}
	text("service", a.Service)
	text("name", a.Name)
	text("zone", a.Zone)
	check(a.Packets.IsValid() && a.Packets.Port() != 0, "packets", "must be an IP address and port")
	check(a.HTTP.IsValid() && a.HTTP.Port() != 0, "http", "must be an IP address and port")
	check(a.Slots >= 1 && a.Slots <= maxSlots, "slots", fmt.Sprintf("must be between 1 and %d", maxSlots))
	check(a.Weight >= 0 && a.Weight <= maxWeight, "weight", fmt.Sprintf("must be between 0 and %d", maxWeight))
	check(a.Incarnation > 0, "incarnation", "must be positive and grow with each start")
	return errs
}

func (a Announcement) server() model.BackendServer {
	return model.BackendServer{
		Name: a.Name, Service: a.Service, Zone: a.Zone, Packets: a.Packets, HTTP: a.HTTP,
		Slots: a.Slots, Weight: a.Weight, Incarnation: a.Incarnation,
	}
}

func (e *Entry) serveAnnouncement(w http.ResponseWriter, req *http.Request) {
	var a Announcement
	decoder := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxAnnouncementBytes))
	if err := decoder.Decode(&a); err != nil {
		http.Error(w, "malformed announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	if errs := a.Validate(); len(errs) > 0 {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusUnprocessableEntity)
		json.NewEncoder(w).Encode(errs)
		return
	}
	response := make(chan proto.Announced, 1)
	e.post(func() { e.handleAnnouncement(a.server(), func(r proto.Announced) { response <- r }) })
	select {
	case r := <-response:
		writeAnnounced(w, r)
	case <-time.After(announceTimeout):
		http.Error(w, "not confirmed in time", http.StatusServiceUnavailable)
	case <-req.Context().Done():
	}
}

func writeAnnounced(w http.ResponseWriter, r proto.Announced) {
	switch {
	case r.Error != "":
		http.Error(w, r.Error, http.StatusServiceUnavailable)
	case r.Result.Failure != nil:
		http.Error(w, r.Result.Failure.Error(), http.StatusConflict)
	default:
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(struct {
			ServerID model.ServerID `json:"serverId"`
		}{r.Result.ServerID})
	}
}

// handleAnnouncement renews the lease of a known backend server, or forwards the
// announcement of a new one to the control replicas.
func (e *Entry) handleAnnouncement(b model.BackendServer, respond func(proto.Announced)) {
	if known, ok := e.state.ServerAt(b.Packets); ok && known.SameIncarnation(b) {
		e.pendingRenewals[known.ID] = true
		respond(proto.Announced{Result: model.Result{ServerID: known.ID}})
		return
	}
	e.lastRequestID++
	id := e.lastRequestID
	e.pendingAnnouncements[id] = respond
	time.AfterFunc(announceTimeout, func() { e.post(func() { delete(e.pendingAnnouncements, id) }) })
	if !e.control.Send(proto.ToControl{Announce: &proto.Announce{ID: id, Server: b}}) {
		delete(e.pendingAnnouncements, id)
		respond(proto.Announced{Error: "no control replica is linked"})
	}
}
