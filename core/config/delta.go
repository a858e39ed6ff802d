package config

import (
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Delta leads from the configuration of one version to that of another. A delta
// from version 0 holds the whole.
type Delta struct {
	From        uint64           `cbor:"1,keyasint,omitempty"`
	To          uint64           `cbor:"2,keyasint"`
	Set         []Route          `cbor:"3,keyasint,omitempty"`
	Dropped     []netip.AddrPort `cbor:"4,keyasint,omitempty"`
	IdleTimeout time.Duration    `cbor:"5,keyasint,omitempty"`
}

// Diff returns the delta between two configurations.
func Diff(old, next Configuration) Delta {
	d := Delta{From: old.Version, To: next.Version, IdleTimeout: next.IdleTimeout}
	for _, r := range next.Routes {
		if before, ok := old.Route(r.Address); !ok || !before.Equal(r) {
			d.Set = append(d.Set, r)
		}
	}
	for _, r := range old.Routes {
		if _, ok := next.Route(r.Address); !ok {
			d.Dropped = append(d.Dropped, r.Address)
		}
	}
	return d
}

// WithDelta returns the configuration that a delta leads to. It returns an error
// for a delta that starts from another version.
func (c Configuration) WithDelta(d Delta) (Configuration, error) {
	if d.From != 0 && d.From != c.Version {
		return c, fmt.Errorf("delta from version %d does not fit version %d", d.From, c.Version)
	}
	next := Configuration{Version: d.To, IdleTimeout: d.IdleTimeout, Routes: slices.Clone(d.Set)}
	if d.From != 0 {
		replaced := func(r Route) bool {
			return slices.Contains(d.Dropped, r.Address) ||
				slices.ContainsFunc(d.Set, func(s Route) bool { return s.Address == r.Address })
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
