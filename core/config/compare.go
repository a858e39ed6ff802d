package config

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Change is the kind of a difference.
type Change string

// The kinds of differences.
const (
	Added   Change = "added"
	Removed Change = "removed"
	Changed Change = "changed"
)

// Difference is a difference between two configurations. As a Finding, it concerns a
// route, a service or the whole configuration. Field, Old and New are set if a field has
// changed; an absent value is empty.
type Difference struct {
	Change   Change
	Route    string
	Address  netip.AddrPort
	Service  string
	Field    Field
	Old, New string
}

// String returns the difference as one line of text.
func (d Difference) String() string {
	subject := "configuration"
	switch {
	case d.Route != "" || d.Address.IsValid():
		subject = fmt.Sprintf("route %q at %v", d.Route, d.Address)
	case d.Service != "":
		subject = fmt.Sprintf("service %q", d.Service)
	}
	if d.Change != Changed {
		return subject + " " + string(d.Change)
	}
	return fmt.Sprintf("%s: %s %s -> %s", subject, d.Field, cmp.Or(d.Old, "none"), cmp.Or(d.New, "none"))
}

// Compare returns the differences between two configurations from New: of the whole, then
// of routes by address and of services by name. The documents are not compared.
//
// Routes with the same address are the same route, because flows are routed by address. A
// route whose address is in one configuration only is the same as one of the same name, if
// exactly one such route is left on each side: it has moved. A removed route has its old
// address, all others the new one.
func Compare(old, next Configuration) []Difference {
	var d differences
	d.field(Difference{}, VersionField, strconv.FormatUint(old.Version, 10), strconv.FormatUint(next.Version, 10))
	d.field(Difference{}, IdleTimeoutField, formatDuration(old.IdleTimeout), formatDuration(next.IdleTimeout))
	d.routes(old, next)
	d.services(old, next)
	return d.list
}

// CheckVersion returns a warning if next would not come into force over old, because its
// version is not higher. Two equal configurations are no reason for a warning.
func CheckVersion(old, next Configuration) []Finding {
	if next.Version > old.Version || next.Version == old.Version && len(Compare(old, next)) == 0 {
		return nil
	}
	f := finder{}
	if next.Version == old.Version {
		f.add(Warning, VersionContentDiffer, VersionField,
			"version %d has another content already: this one would change nothing", next.Version)
		return f.findings
	}
	f.add(Warning, VersionNotHigher, VersionField,
		"version %d is below %d: it would change nothing", next.Version, old.Version)
	return f.findings
}

type differences struct{ list []Difference }

func (d *differences) field(about Difference, field Field, before, after string) {
	if before == after {
		return
	}
	about.Change, about.Field, about.Old, about.New = Changed, field, before, after
	d.list = append(d.list, about)
}

func (d *differences) routes(old, next Configuration) {
	var removed, added []Route
	for _, r := range old.Routes {
		if _, kept := next.Route(r.Address); !kept {
			removed = append(removed, r)
		}
	}
	for _, r := range next.Routes {
		if _, kept := old.Route(r.Address); !kept {
			added = append(added, r)
		}
	}
	for _, r := range removed {
		if _, moved := counterpart(r, removed, added); !moved {
			d.list = append(d.list, Difference{Change: Removed, Route: r.Name, Address: r.Address})
		}
	}
	for _, r := range next.Routes {
		before, existed := old.Route(r.Address)
		if !existed {
			before, existed = counterpart(r, added, removed)
		}
		if !existed {
			d.list = append(d.list, Difference{Change: Added, Route: r.Name, Address: r.Address})
			continue
		}
		d.route(before, r)
	}
}

// counterpart returns the route of the same name among others, if it is the only one there
// and r is the only one among its own.
func counterpart(r Route, own, others []Route) (Route, bool) {
	named := func(o Route) bool { return o.Name == r.Name }
	i := slices.IndexFunc(others, named)
	if r.Name == "" || i < 0 || slices.ContainsFunc(others[i+1:], named) {
		return Route{}, false
	}
	first := slices.IndexFunc(own, named)
	if slices.ContainsFunc(own[first+1:], named) {
		return Route{}, false
	}
	return others[i], true
}

func (d *differences) route(old, next Route) {
	about := Difference{Route: next.Name, Address: next.Address}
	d.field(about, NameField, old.Name, next.Name)
	d.field(about, AddressField, old.Address.String(), next.Address.String())
	d.field(about, KindField, old.Kind.name(), next.Kind.name())
	d.field(about, TimeoutField, formatDuration(old.Timeout), formatDuration(next.Timeout))
	d.field(about, ObjectiveField, formatDuration(old.Objective), formatDuration(next.Objective))
	d.field(about, PriorityField, strconv.Itoa(old.Priority), strconv.Itoa(next.Priority))
	d.field(about, SplitField, formatSplit(old.Split), formatSplit(next.Split))
}

func (d *differences) services(old, next Configuration) {
	all := slices.Concat(old.Services, next.Services)
	slices.Sort(all)
	for _, s := range slices.Compact(all) {
		about := Difference{Service: s}
		_, before := slices.BinarySearch(old.Services, s)
		_, after := slices.BinarySearch(next.Services, s)
		switch {
		case !after:
			about.Change = Removed
			d.list = append(d.list, about)
			continue
		case !before:
			about.Change = Added
			d.list = append(d.list, about)
		}
		oldStart, oldRate := old.formatCold(s)
		start, rate := next.formatCold(s)
		d.field(about, ColdStartField, oldStart, start)
		d.field(about, ColdPerSecondField, oldRate, rate)
	}
}

func (c Configuration) formatCold(service string) (start, perSecond string) {
	l, limited := c.ColdLimit(service)
	if !limited {
		return "", ""
	}
	return l.Start.String(), strconv.FormatFloat(l.PerSecond, 'g', -1, 64)
}

// formatDuration returns an empty string for 0, which stands for an absent value.
func formatDuration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

// formatSplit returns a text that differs between splits that do.
func formatSplit(split []WeightedService) string {
	parts := make([]string, len(split))
	for i, s := range split {
		name := s.Service
		if name == "" || strings.ContainsAny(name, " =\"") {
			name = strconv.Quote(name)
		}
		parts[i] = fmt.Sprintf("%s=%d", name, s.Weight)
	}
	return strings.Join(parts, " ")
}
