// Package config holds the operator's configuration as a whole, under a version
// number that the operator assigns: the highest version wins, and the content of a
// version never changes.
//
// A Configuration is an immutable value. Control replicas replicate the one in force
// (State); entry instances receive it as a Delta against the one that they have.
//
// The operator may also evacuate availability zones (Evacuations). That set is
// replicated in the same log and independent of the configuration.
//
// # Usage
//
//	err := c.Validate()                    // all errors, joined
//	findings := c.Lint(false)              // errors and warnings, before it is sent
//	findings = c.LintOn(deployment, false) // also those that depend on settings
//	changes := config.Compare(old, c)      // for operators
//	state, changed := state.Apply(c)       // replicated: highest version wins
//	state = state.ApplyCommand(index, cmd) // a log entry: a configuration or an order
//	delta := config.Diff(old, c)           // on the sender
//	next, err := old.WithDelta(delta)      // on the receiver
package config

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Kind is the retry semantics of a route's requests.
type Kind uint8

// The kinds of routes.
const (
	Idempotent    Kind = iota // may be retried
	NonIdempotent             // executed at most once
	Download                  // may be retried, with a large response
	Upload                    // executed at most once, with a large request
)

var kindNames = [...]string{Idempotent: "idempotent", NonIdempotent: "nonIdempotent", Download: "download", Upload: "upload"}

// name returns the kind's name, or its number if it has none. Kind has no String method,
// so that logged and stored forms keep the number.
func (k Kind) name() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// WeightedService gives a service a share of a route's new flows in proportion to
// its weight.
type WeightedService struct {
	Service string `cbor:"1,keyasint"`
	Weight  int    `cbor:"2,keyasint"`
}

// Route distributes the flows of one address and port to services.
type Route struct {
	Name    string         `cbor:"1,keyasint"`
	Address netip.AddrPort `cbor:"2,keyasint"`
	Kind    Kind           `cbor:"3,keyasint,omitempty"`
	// Timeout is the total time limit of a request.
	Timeout time.Duration `cbor:"4,keyasint"`
	// Objective is the target latency: the response time that callers expect.
	Objective time.Duration `cbor:"5,keyasint,omitempty"`
	// Priority orders routes under overload; 0 is the highest.
	Priority int               `cbor:"6,keyasint,omitempty"`
	Split    []WeightedService `cbor:"7,keyasint"`
}

// Equal reports whether two routes are equal in all fields.
func (r Route) Equal(o Route) bool {
	return slices.Equal(r.Split, o.Split) && r.Name == o.Name && r.Address == o.Address && r.Kind == o.Kind &&
		r.Timeout == o.Timeout && r.Objective == o.Objective && r.Priority == o.Priority
}

// ColdLimit bounds the new flows of a service's backend servers that have just
// started.
type ColdLimit struct {
	Service string `cbor:"1,keyasint"`
	// Start is how long a backend server is cold after its start.
	Start time.Duration `cbor:"2,keyasint,omitempty"`
	// PerSecond is the number of requests a second that a cold backend server can
	// process. It may be 0.
	PerSecond float64 `cbor:"3,keyasint,omitempty"`
}

// Configuration is the whole of the operator's configuration under one version.
type Configuration struct {
	Version uint64 `cbor:"1,keyasint"`
	// Routes are ordered by address.
	Routes []Route `cbor:"2,keyasint"`
	// Services are the names that routes may refer to, sorted.
	Services []string `cbor:"3,keyasint,omitempty"`
	// IdleTimeout is how long a flow must be idle before it may be expired.
	IdleTimeout time.Duration `cbor:"4,keyasint,omitempty"`
	// Document is the operator's document, byte for byte, for reading it back.
	// Entry instances do not receive it.
	Document []byte `cbor:"5,keyasint,omitempty"`
	// Cold holds the limits of services whose cold backend servers have one, sorted
	// by service.
	Cold []ColdLimit `cbor:"6,keyasint,omitempty"`
}

// New returns a configuration with its routes, services and limits sorted.
func New(c Configuration) Configuration {
	c.Routes = slices.Clone(c.Routes)
	slices.SortFunc(c.Routes, compareRoutes)
	c.Services = slices.Clone(c.Services)
	slices.Sort(c.Services)
	c.Cold = slices.Clone(c.Cold)
	slices.SortFunc(c.Cold, func(a, b ColdLimit) int { return strings.Compare(a.Service, b.Service) })
	return c
}

func compareRoutes(a, b Route) int { return a.Address.Compare(b.Address) }

// Route returns the route of an address.
func (c Configuration) Route(address netip.AddrPort) (Route, bool) {
	i, ok := slices.BinarySearchFunc(c.Routes, address, func(r Route, a netip.AddrPort) int {
		return r.Address.Compare(a)
	})
	if !ok {
		return Route{}, false
	}
	return c.Routes[i], true
}

// ColdLimit returns the limit for cold backend servers of a service, and false if
// they have none.
func (c Configuration) ColdLimit(service string) (ColdLimit, bool) {
	i, ok := slices.BinarySearchFunc(c.Cold, service, func(l ColdLimit, s string) int {
		return strings.Compare(l.Service, s)
	})
	if !ok {
		return ColdLimit{}, false
	}
	return c.Cold[i], true
}

// HasUploads reports whether a route carries uploads.
func (c Configuration) HasUploads() bool {
	return slices.ContainsFunc(c.Routes, func(r Route) bool { return r.Kind == Upload })
}

// Validate returns all errors, joined, or nil. The configuration must come from
// New.
func (c Configuration) Validate() error {
	var errs []error
	for _, f := range c.errors() {
		errs = append(errs, f.Err())
	}
	return errors.Join(errs...)
}

// State is the replicated state: the configuration in force and the evacuated zones.
type State struct {
	Configuration Configuration `cbor:"1,keyasint"`
	Evacuations   Evacuations   `cbor:"2,keyasint,omitzero"`
}

// Apply returns the state after an update with a configuration, and whether that
// came into force. A version at or below the one in force changes nothing, whatever
// its content.
func (s State) Apply(c Configuration) (State, bool) {
	if c.Version <= s.Configuration.Version {
		return s, false
	}
	s.Configuration = c
	return s, true
}

// ApplyCommand returns the state after a command that was committed at a log index.
func (s State) ApplyCommand(index uint64, c Command) State {
	if c.Evacuation != nil {
		s.Evacuations, _ = s.Evacuations.With(index, *c.Evacuation)
		return s
	}
	s, _ = s.Apply(c.Configuration)
	return s
}

// Merge returns the newer configuration and the newer evacuations of two states.
func (s State) Merge(o State) State {
	if o.Configuration.Version >= s.Configuration.Version {
		s.Configuration = o.Configuration
	}
	if o.Evacuations.Revision >= s.Evacuations.Revision {
		s.Evacuations = o.Evacuations
	}
	return s
}
