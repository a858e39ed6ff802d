// Package config holds a whole configuration as the operator numbers it: the
// highest version wins, and a version never changes its content.
//
// A Configuration is an immutable value. Control replicas keep the one in force
// (Held); entry instances receive it as a Delta against the one that they have.
//
// # Usage
//
//	err := c.Validate()                    // every fault, joined
//	held, changed := held.Offer(c)         // replicated: highest version wins
//	delta := config.Diff(old, c)           // at the sender
//	next, err := old.WithDelta(delta)      // at the receiver
package config

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Kind says what a route's requests allow.
type Kind uint8

// The kinds of routes.
const (
	Idempotent    Kind = iota // may be repeated
	NonIdempotent             // run at most once
	Download                  // may be repeated, with a large answer
)

// WeightedService is a service's part of a route's new flows.
type WeightedService struct {
	Service string `cbor:"1,keyasint"`
	Weight  int    `cbor:"2,keyasint"`
}

// Route sends the flows of one address and port to services.
type Route struct {
	Name    string         `cbor:"1,keyasint"`
	Address netip.AddrPort `cbor:"2,keyasint"`
	Kind    Kind           `cbor:"3,keyasint,omitempty"`
	// Timeout is how long a request may take in all.
	Timeout time.Duration `cbor:"4,keyasint"`
	// Objective is the latency that callers expect.
	Objective time.Duration `cbor:"5,keyasint,omitempty"`
	// Priority orders routes under load; 0 goes first.
	Priority int               `cbor:"6,keyasint,omitempty"`
	Split    []WeightedService `cbor:"7,keyasint"`
}

// Equal reports whether two routes say the same.
func (r Route) Equal(o Route) bool {
	return slices.Equal(r.Split, o.Split) && r.Name == o.Name && r.Address == o.Address && r.Kind == o.Kind &&
		r.Timeout == o.Timeout && r.Objective == o.Objective && r.Priority == o.Priority
}

// Configuration is everything that an operator configures, under one version.
type Configuration struct {
	Version uint64 `cbor:"1,keyasint"`
	// Routes are ordered by address.
	Routes []Route `cbor:"2,keyasint"`
	// Services are the names that routes may use, in order.
	Services []string `cbor:"3,keyasint,omitempty"`
	// IdleTimeout is the silence after which a flow may be forgotten.
	IdleTimeout time.Duration `cbor:"4,keyasint,omitempty"`
	// Document is the operator's own text, which is read back as it was
	// written. Entry instances do not receive it.
	Document []byte `cbor:"5,keyasint,omitempty"`
}

// New returns a configuration with its routes and services in order.
func New(c Configuration) Configuration {
	c.Routes = slices.Clone(c.Routes)
	slices.SortFunc(c.Routes, compareRoutes)
	c.Services = slices.Clone(c.Services)
	slices.Sort(c.Services)
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

// Validate returns every fault, joined, or nil. The configuration must come from
// New.
func (c Configuration) Validate() error {
	var faults []error
	for i, r := range c.Routes {
		if i > 0 && c.Routes[i-1].Address == r.Address {
			faults = append(faults, fmt.Errorf("routes %q and %q share the address %v", c.Routes[i-1].Name, r.Name, r.Address))
		}
		if err := c.validateRoute(r); err != nil {
			faults = append(faults, fmt.Errorf("route %q: %w", r.Name, err))
		}
	}
	return errors.Join(faults...)
}

func (c Configuration) validateRoute(r Route) error {
	var faults []error
	if r.Timeout <= 0 {
		faults = append(faults, errors.New("the timeout must be positive"))
	}
	total := 0
	for _, s := range r.Split {
		if _, known := slices.BinarySearch(c.Services, s.Service); !known {
			faults = append(faults, fmt.Errorf("unknown service %q", s.Service))
		}
		if s.Weight < 0 {
			faults = append(faults, fmt.Errorf("service %q has the negative weight %d", s.Service, s.Weight))
		}
		total += max(s.Weight, 0)
	}
	if total == 0 {
		faults = append(faults, errors.New("no service has a weight"))
	}
	return errors.Join(faults...)
}

// State is the replicated state: the configuration in force.
type State struct {
	Configuration Configuration `cbor:"1,keyasint"`
}

// Apply returns the state after a configuration was offered, and whether that
// came into force. A version at or below the one held changes nothing, whatever
// its content.
func (h State) Apply(c Configuration) (State, bool) {
	if c.Version <= h.Configuration.Version {
		return h, false
	}
	return State{Configuration: c}, true
}
