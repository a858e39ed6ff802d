// Package model defines the values that every part of boragepost shares:
// services, backend servers, instances, and the commands that change them.
//
// # Usage
//
// A Service is configured by an operator; a BackendServer and an Instance have
// announced themselves. A Command is one entry of the replicated log:
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

// Service is an operator's configuration of one address, whose flows and requests
// are distributed over the backend servers that announce themselves for it.
type Service struct {
	Name    string         `json:"name" yaml:"name" cbor:"1,keyasint"`
	Address netip.AddrPort `json:"address" yaml:"address" cbor:"2,keyasint"`
	// Zones limits the availability zones whose backend servers are used.
	// An empty list allows all of them.
	Zones []string `json:"zones,omitempty" yaml:"zones" cbor:"3,keyasint,omitempty"`
	// Sharing is the name of the load-balancing policy for requests (package
	// share).
	Sharing string `json:"sharing" yaml:"sharing" cbor:"4,keyasint"`
	// IdleTimeout is the time without packets after which a flow expires.
	IdleTimeout Duration `json:"idleTimeout" yaml:"idleTimeout" cbor:"5,keyasint"`
	// DrainTimeout bounds how long a draining backend server keeps its flows.
	DrainTimeout Duration `json:"drainTimeout" yaml:"drainTimeout" cbor:"6,keyasint"`
	// LongRoutes are the path prefixes of requests of the class share.Long.
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

// Phase is the lifecycle phase of a backend server.
type Phase uint8

// The phases of a backend server. A removed backend server is no longer part of
// the state, so there is no phase for it.
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
	for _, phase := range []Phase{Active, Draining} {
		if phase.String() == string(text) {
			*p = phase
			return nil
		}
	}
	return fmt.Errorf("unknown phase %q", text)
}

// BackendServer is one announced incarnation of a backend server.
type BackendServer struct {
	ID      ServerID       `json:"id" cbor:"1,keyasint"`
	Name    string         `json:"name" cbor:"2,keyasint"`
	Service string         `json:"service" cbor:"3,keyasint"`
	Zone    string         `json:"zone" cbor:"4,keyasint"`
	Packets netip.AddrPort `json:"packets" cbor:"5,keyasint"` // GUE endpoint
	HTTP    netip.AddrPort `json:"http" cbor:"6,keyasint"`
	// Slots is the number of requests that the backend server runs at once.
	Slots int `json:"slots" cbor:"7,keyasint"`
	// Weight is the announced weight, to which the backend server's part of the
	// flows is proportional; 0 counts as 1.
	Weight int `json:"weight" cbor:"8,keyasint"`
	// Incarnation distinguishes a restarted backend server from its predecessor;
	// the later one has the higher number.
	Incarnation uint64 `json:"incarnation" cbor:"9,keyasint"`
	Phase       Phase  `json:"phase" cbor:"10,keyasint"`
	// ResourceVersion is the log index of the latest change.
	ResourceVersion uint64 `json:"resourceVersion" cbor:"11,keyasint"`
	// DrainUntil is the Unix time in milliseconds at which a draining backend
	// server is removed.
	DrainUntil int64 `json:"drainUntil,omitempty" cbor:"12,keyasint,omitempty"`
}

// WithPhase returns a copy in the given phase and with the given resource version.
func (b BackendServer) WithPhase(p Phase, resourceVersion uint64) BackendServer {
	b.Phase = p
	b.ResourceVersion = resourceVersion
	return b
}

// SameIncarnation reports whether both announcements come from the same
// incarnation of the same backend server.
func (b BackendServer) SameIncarnation(o BackendServer) bool {
	return b.Service == o.Service && b.Name == o.Name &&
		b.Packets == o.Packets && b.HTTP == o.HTTP && b.Incarnation == o.Incarnation
}

// EffectiveWeight returns the announced weight, but at least 1.
func (b BackendServer) EffectiveWeight() int { return max(b.Weight, 1) }

// Instance is one entry instance that has joined.
type Instance struct {
	ID              InstanceID     `json:"id" cbor:"1,keyasint"`
	Zone            string         `json:"zone" cbor:"2,keyasint"`
	Peer            netip.AddrPort `json:"peer" cbor:"3,keyasint"` // peer link endpoint
	Gateway         netip.AddrPort `json:"gateway" cbor:"4,keyasint"`
	Incarnation     uint64         `json:"incarnation" cbor:"5,keyasint"`
	ResourceVersion uint64         `json:"resourceVersion" cbor:"6,keyasint"`
}

// Evacuation is an availability zone whose backend servers get no new flows and
// requests, by order of an operator.
type Evacuation struct {
	Zone string `json:"zone" cbor:"1,keyasint"`
	// ResourceVersion is the log index of the order.
	ResourceVersion uint64 `json:"resourceVersion" cbor:"2,keyasint"`
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
