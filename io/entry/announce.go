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
	maxAnnouncement = 16 << 10 // bytes
	announceTimeout = 3 * time.Second
	maxSlots        = 1 << 16
	maxWeight       = 1 << 10
	maxText         = 253 // bytes
)

// Announcement is what a backend server posts about itself, once a second, to
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

// Validate returns all faults of an announcement.
func (a Announcement) Validate() []model.FieldError {
	var faults []model.FieldError
	add := func(ok bool, path, text string) {
		if !ok {
			faults = append(faults, model.FieldError{Path: path, Text: text})
		}
	}
	text := func(path, v string) {
		add(v != "" && len(v) <= maxText, path, fmt.Sprintf("must have 1 to %d bytes", maxText))
	}
	text("service", a.Service)
	text("name", a.Name)
	text("zone", a.Zone)
	add(a.Packets.IsValid() && a.Packets.Port() != 0, "packets", "must be an IP address and port")
	add(a.HTTP.IsValid() && a.HTTP.Port() != 0, "http", "must be an IP address and port")
	add(a.Slots >= 1 && a.Slots <= maxSlots, "slots", fmt.Sprintf("must be between 1 and %d", maxSlots))
	add(a.Weight >= 0 && a.Weight <= maxWeight, "weight", fmt.Sprintf("must be between 0 and %d", maxWeight))
	add(a.Incarnation > 0, "incarnation", "must be positive and grow with each start")
	return faults
}

func (a Announcement) server() model.BackendServer {
	return model.BackendServer{
		Name: a.Name, Service: a.Service, Zone: a.Zone, Packets: a.Packets, HTTP: a.HTTP,
		Slots: a.Slots, Weight: a.Weight, Incarnation: a.Incarnation,
	}
}

func (e *Entry) announce(w http.ResponseWriter, req *http.Request) {
	var a Announcement
	decoder := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxAnnouncement))
	if err := decoder.Decode(&a); err != nil {
		http.Error(w, "malformed announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	if faults := a.Validate(); len(faults) > 0 {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusUnprocessableEntity)
		json.NewEncoder(w).Encode(faults)
		return
	}
	got := make(chan proto.Announced, 1)
	e.post(func() { e.takeAnnouncement(a.server(), func(r proto.Announced) { got <- r }) })
	select {
	case r := <-got:
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

// takeAnnouncement renews the lease of a known backend server, or passes a new
// one on to the control replicas.
func (e *Entry) takeAnnouncement(b model.BackendServer, done func(proto.Announced)) {
	if known, ok := e.state.ServerAt(b.Packets); ok && known.SameIncarnation(b) {
		e.renewals[known.ID] = true
		done(proto.Announced{Result: model.Result{ServerID: known.ID}})
		return
	}
	e.nextID++
	id := e.nextID
	e.calls[id] = done
	time.AfterFunc(announceTimeout, func() { e.post(func() { delete(e.calls, id) }) })
	if !e.control.Send(proto.ToControl{Announce: &proto.Announce{ID: id, Server: b}}) {
		delete(e.calls, id)
		done(proto.Announced{Error: "no control replica is linked"})
	}
}
