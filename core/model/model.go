// Package model defines the values that every part of boragepost shares:
// services, backend servers, instances, and the commands that change them.
//
// # Usage
//
// A Service says what operators want; a BackendServer and an Instance say what
// was announced. A Command is one entry of the replicated log:
//
//	cmd := model.Command{Actor: "ops", PutService: &model.PutService{Service: svc}}
//
// Values are treated as immutable once they are shared. A changed copy comes
// from a With method:
//
//	next := svc.WithVersion(svc.Generation+1, index)
package model

import (
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// ServerID identifies one incarnation of a backend server. Identifiers are
// never reused, so a stale reference can never name another backend server.
// The zero ServerID names no backend server.
type ServerID uint32

// InstanceID identifies one boragepost instance by its configured name.
type InstanceID string

// Service is what an operator asks for: one address, shared over the backend
// servers that announce themselves for it.
type Service struct {
	Name    string         `json:"name" yaml:"name" cbor:"1,keyasint"`
	Address netip.AddrPort `json:"address" yaml:"address" cbor:"2,keyasint"`
	// Zones limits the availability zones whose backend servers are used.
	// An empty list allows all of them.
	Zones []string `json:"zones,omitempty" yaml:"zones" cbor:"3,keyasint,omitempty"`
	// Sharing names the registered sharing policy for requests.
	Sharing string `json:"sharing" yaml:"sharing" cbor:"4,keyasint"`
	// IdleTimeout is the silence after which a flow counts as ended.
	IdleTimeout Duration `json:"idleTimeout" yaml:"idleTimeout" cbor:"5,keyasint"`
	// DrainTimeout bounds how long a leaving backend server keeps its flows.
	DrainTimeout Duration `json:"drainTimeout" yaml:"drainTimeout" cbor:"6,keyasint"`
	// LongRoutes are path prefixes whose requests are long work.
	LongRoutes []string `json:"longRoutes,omitempty" yaml:"longRoutes" cbor:"7,keyasint,omitempty"`
	// Generation counts the accepted changes of this service.
	Generation uint64 `json:"generation" yaml:"-" cbor:"8,keyasint"`
	// ResourceVersion is the log index of the latest change.
	ResourceVersion uint64 `json:"resourceVersion" yaml:"-" cbor:"9,keyasint"`
}

// WithVersion returns a copy that carries the given generation and resource
// version.
func (s Service) WithVersion(generation, resourceVersion uint64) Service {
	s.Generation = generation
	s.ResourceVersion = resourceVersion
	return s
}

// AllowsZone reports whether backend servers of the availability zone may serve s.
func (s Service) AllowsZone(zone string) bool {
	return len(s.Zones) == 0 || slices.Contains(s.Zones, zone)
}

// Phase is the stage of a backend server's life.
type Phase uint8

// The phases of a backend server. A backend server that is gone is removed, so
// it has no phase.
const (
	Active Phase = iota
	Draining
)

// String returns the phase as the resource API shows it.
func (p Phase) String() string {
	if p == Draining {
		return "draining"
	}
	return "active"
}

// MarshalText implements encoding.TextMarshaler.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error for an
// unknown phase.
func (p *Phase) UnmarshalText(text []byte) error {
	for _, known := range []Phase{Active, Draining} {
		if known.String() == string(text) {
			*p = known
			return nil
		}
	}
	return fmt.Errorf("unknown phase %q", text)
}

// BackendServer is one announced backend server.
type BackendServer struct {
	ID      ServerID       `json:"id" cbor:"1,keyasint"`
	Name    string         `json:"name" cbor:"2,keyasint"`
	Service string         `json:"service" cbor:"3,keyasint"`
	Zone    string         `json:"zone" cbor:"4,keyasint"`
	Packets netip.AddrPort `json:"packets" cbor:"5,keyasint"` // GUE endpoint
	HTTP    netip.AddrPort `json:"http" cbor:"6,keyasint"`
	// Slots is the number of requests that the backend server runs at once.
	Slots int `json:"slots" cbor:"7,keyasint"`
	// Weight is the declared share of flows; 0 counts as 1.
	Weight int `json:"weight" cbor:"8,keyasint"`
	// Incarnation tells a restarted backend server from its predecessor.
	Incarnation uint64 `json:"incarnation" cbor:"9,keyasint"`
	Phase       Phase  `json:"phase" cbor:"10,keyasint"`
	// ResourceVersion is the log index of the latest change.
	ResourceVersion uint64 `json:"resourceVersion" cbor:"11,keyasint"`
	// DrainUntil is the Unix time in milliseconds at which a draining backend
	// server is removed.
	DrainUntil int64 `json:"drainUntil,omitempty" cbor:"12,keyasint,omitempty"`
}

// WithPhase returns a copy in the given phase as of a log index.
func (b BackendServer) WithPhase(p Phase, since uint64) BackendServer {
	b.Phase = p
	b.ResourceVersion = since
	return b
}

// SameIncarnation reports whether two announcements come from one incarnation of
// one backend server.
func (b BackendServer) SameIncarnation(o BackendServer) bool {
	return b.Service == o.Service && b.Name == o.Name &&
		b.Packets == o.Packets && b.HTTP == o.HTTP && b.Incarnation == o.Incarnation
}

// EffectiveWeight returns the declared weight, at least 1.
func (b BackendServer) EffectiveWeight() int { return max(b.Weight, 1) }

// Instance is one entry instance that takes part in decisions.
type Instance struct {
	ID              InstanceID     `json:"id" cbor:"1,keyasint"`
	Zone            string         `json:"zone" cbor:"2,keyasint"`
	Peer            netip.AddrPort `json:"peer" cbor:"3,keyasint"` // peer link endpoint
	Gateway         netip.AddrPort `json:"gateway" cbor:"4,keyasint"`
	Incarnation     uint64         `json:"incarnation" cbor:"5,keyasint"`
	ResourceVersion uint64         `json:"resourceVersion" cbor:"6,keyasint"`
}

// Duration is a time.Duration written as text, such as 30s, in settings and in
// the resource API.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns the error of
// time.ParseDuration for malformed text.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}
