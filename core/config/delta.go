package config

import (
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Delta holds the changes between the configurations of two versions. A delta from
// version 0 holds all routes. A delta carries neither Services nor Document.
type Delta struct {
	FromVersion uint64           `cbor:"1,keyasint,omitempty"`
	ToVersion   uint64           `cbor:"2,keyasint"`
	Updated     []Route          `cbor:"3,keyasint,omitempty"`
	Removed     []netip.AddrPort `cbor:"4,keyasint,omitempty"`
	IdleTimeout time.Duration    `cbor:"5,keyasint,omitempty"`
	// Cold holds all limits of the next configuration.
	Cold []ColdLimit `cbor:"6,keyasint,omitempty"`
}

// Diff returns the delta between two configurations.
func Diff(old, next Configuration) Delta {
	d := Delta{FromVersion: old.Version, ToVersion: next.Version, IdleTimeout: next.IdleTimeout, Cold: next.Cold}
	for _, r := range next.Routes {
		if before, ok := old.Route(r.Address); !ok || !before.Equal(r) {
			d.Updated = append(d.Updated, r)
		}
	}
	for _, r := range old.Routes {
		if _, ok := next.Route(r.Address); !ok {
			d.Removed = append(d.Removed, r.Address)
		}
	}
	return d
}

// WithDelta returns the configuration with a delta applied. It returns an error if
// the delta starts from another version.
func (c Configuration) WithDelta(d Delta) (Configuration, error) {
	if d.FromVersion != 0 && d.FromVersion != c.Version {
		return c, fmt.Errorf("delta from version %d does not apply to version %d", d.FromVersion, c.Version)
	}
	next := Configuration{Version: d.ToVersion, IdleTimeout: d.IdleTimeout, Cold: d.Cold, Routes: slices.Clone(d.Updated)}
	if d.FromVersion != 0 {
		replaced := func(r Route) bool {
			return slices.Contains(d.Removed, r.Address) ||
				slices.ContainsFunc(d.Updated, func(s Route) bool { return s.Address == r.Address })
		}
		for _, r := range c.Routes {
			if !replaced(r) {
				next.Routes = append(next.Routes, r)
			}
		}
	}
	slices.SortFunc(next.Routes, compareRoutes)
	return next, nil
}
