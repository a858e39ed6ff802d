package config

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"
)

// Severity is the severity of a finding.
type Severity uint8

// The severities.
const (
	Error   Severity = iota // the configuration is rejected
	Warning                 // it is accepted, but probably not what is meant
)

// String returns error or warning.
func (s Severity) String() string {
	if s == Error {
		return "error"
	}
	return "warning"
}

// MarshalText implements encoding.TextMarshaler.
func (s Severity) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Code identifies the kind of a finding. Codes do not change between versions, so that
// programs can depend on them.
type Code string

// The codes of findings.
const (
	NoTimeout            Code = "noTimeout"
	UnknownService       Code = "unknownService"
	NegativeWeight       Code = "negativeWeight"
	NoWeight             Code = "noWeight"
	SharedAddress        Code = "sharedAddress"
	NegativeCold         Code = "negativeCold"
	NoRoutes             Code = "noRoutes"
	RepeatedRoute        Code = "repeatedRoute"
	RepeatedService      Code = "repeatedService"
	Unnamed              Code = "unnamed"
	NoPort               Code = "noPort"
	UnspecifiedAddress   Code = "unspecifiedAddress"
	ObjectiveAbove       Code = "objectiveAboveTimeout"
	NegativeObjective    Code = "negativeObjective"
	NegativePriority     Code = "negativePriority"
	ShortUploadTimeout   Code = "shortUploadTimeout"
	NoUploadObjective    Code = "noUploadObjective"
	ZeroWeight           Code = "zeroWeight"
	RepeatedInSplit      Code = "repeatedInSplit"
	IdleBelowTimeout     Code = "idleBelowTimeout"
	NegativeIdle         Code = "negativeIdle"
	UnusedService        Code = "unusedService"
	EqualPriorities      Code = "equalPriorities"
	NoNewFlowsWhileCold  Code = "noNewFlowsWhileCold"
	ColdLimitNeverBinds  Code = "coldLimitNeverBinds"
	VersionNotHigher     Code = "versionNotHigher"
	OutOfRange           Code = "outOfRange"
	DifferentLimits      Code = "differentLimits"
	VersionContentDiffer Code = "versionContentDiffers"
)

// Field names a field of a Configuration, a Route or a ColdLimit in findings and
// differences.
type Field string

// The fields.
const (
	VersionField       Field = "version"
	RoutesField        Field = "routes"
	ServicesField      Field = "services"
	IdleTimeoutField   Field = "idleTimeout"
	NameField          Field = "name"
	AddressField       Field = "address"
	KindField          Field = "kind"
	TimeoutField       Field = "timeout"
	ObjectiveField     Field = "objective"
	PriorityField      Field = "priority"
	SplitField         Field = "split"
	ColdStartField     Field = "coldStart"
	ColdPerSecondField Field = "coldPerSecond"
)

// Finding is an error in a configuration, or a warning about it. It concerns a route if
// Address is valid or Route is set, else a service if Service is set, else the whole
// configuration.
type Finding struct {
	Severity Severity
	Code     Code
	Route    string
	Address  netip.AddrPort
	Service  string
	Field    Field
	Text     string
}

// String returns the text, preceded by the route or service that it concerns.
func (f Finding) String() string {
	switch {
	case f.Code == SharedAddress: // the text names both routes
		return f.Text
	case f.Route == "" && f.Address.IsValid():
		return fmt.Sprintf("route at %v: %s", f.Address, f.Text)
	case f.Route != "":
		return fmt.Sprintf("route %q: %s", f.Route, f.Text)
	case f.Service != "":
		return fmt.Sprintf("service %q: %s", f.Service, f.Text)
	default:
		return f.Text
	}
}

// Err returns the finding as an error.
func (f Finding) Err() error { return findingError(f) }

type findingError Finding

func (e findingError) Error() string { return Finding(e).String() }

const (
	// DefaultIdleTimeout is the idle timeout of entry instances whose configuration sets
	// none.
	DefaultIdleTimeout = 15 * time.Second
	// MinUploadTimeout is the timeout below which an upload often cannot be completed: the
	// largest upload that is planned for, 240,000 B, takes 0.96 s on a link of 2 Mbit/s, and
	// twice that beside another upload.
	MinUploadTimeout = 2 * time.Second
	// MaxTime is the largest time in a configuration, and -MaxTime the smallest. It is above
	// what a caller waits for, and so small that sums of times do not wrap (at 292 years).
	MaxTime = 365 * 24 * time.Hour
	// MaxWeight is the largest weight of a service. An int holds it on every machine, and the
	// sum of as many weights as a document has bytes does not wrap in 64 bits.
	MaxWeight = math.MaxInt32
)

// InRange reports whether a time lies between -MaxTime and MaxTime.
func InRange(d time.Duration) bool { return -MaxTime <= d && d <= MaxTime }

// Lint returns the errors that Validate returns, and then warnings, both about routes in
// the order of their addresses, about services by name, and about the whole. The
// configuration must come from New.
//
// Incomplete reports that routes or services are missing because they could not be read:
// warnings that depend on the whole configuration are then omitted.
func (c Configuration) Lint(incomplete bool) []Finding {
	return c.lint(nil, incomplete)
}

func (c Configuration) lint(d *Deployment, incomplete bool) []Finding {
	l := linter{c: c, deployment: d, findings: c.errors()}
	for _, r := range c.Routes {
		l.route(r)
	}
	l.services()
	if !incomplete {
		l.whole()
	}
	return l.findings
}

// LintRoute returns the findings about one route by itself, which need not be among the
// configuration's routes and may lack an address.
func (c Configuration) LintRoute(r Route) []Finding {
	f := finder{about: Finding{Route: r.Name, Address: r.Address}}
	c.routeErrors(&f, r)
	l := linter{c: c, findings: f.findings}
	l.route(r)
	return l.findings
}

// finder collects findings about one route or service.
type finder struct {
	about    Finding
	findings []Finding
}

func (f *finder) add(s Severity, code Code, field Field, format string, args ...any) {
	next := f.about
	next.Severity, next.Code, next.Field, next.Text = s, code, field, fmt.Sprintf(format, args...)
	f.findings = append(f.findings, next)
}

// errors returns the findings for which the configuration is rejected.
func (c Configuration) errors() []Finding {
	var f finder
	for i, r := range c.Routes {
		f.about = Finding{Route: r.Name, Address: r.Address}
		if i > 0 && c.Routes[i-1].Address == r.Address {
			f.add(Error, SharedAddress, AddressField, "routes %q and %q share the address %v",
				c.Routes[i-1].Name, r.Name, r.Address)
		}
		c.routeErrors(&f, r)
	}
	f.about = Finding{}
	f.checkTime(IdleTimeoutField, "the idle timeout", c.IdleTimeout)
	for i, l := range c.Cold {
		f.about = Finding{Service: l.Service}
		if c.repeatsOtherLimit(i) {
			f.add(Error, DifferentLimits, ServicesField, "is listed more than once, with different limits for cold backend servers")
		}
		f.checkTime(ColdStartField, "the time for which a backend server is cold", l.Start)
		if math.IsNaN(l.PerSecond) || math.IsInf(l.PerSecond, 1) {
			f.add(Error, OutOfRange, ColdPerSecondField, "the limit for cold backend servers must be a finite number")
		}
		if l.Start < 0 || l.PerSecond < 0 {
			field := ColdStartField
			if l.Start >= 0 {
				field = ColdPerSecondField
			}
			f.add(Error, NegativeCold, field, "limits for cold backend servers must not be negative")
		}
	}
	return f.findings
}

// repeatsOtherLimit reports whether the limit at position i is the first of a service that
// is listed more than once with different limits, or once without one.
func (c Configuration) repeatsOtherLimit(i int) bool {
	first := c.Cold[i]
	if i > 0 && c.Cold[i-1].Service == first.Service {
		return false
	}
	end := i + 1
	for ; end < len(c.Cold) && c.Cold[end].Service == first.Service; end++ {
		if c.Cold[end] != first {
			return true
		}
	}
	start, _ := slices.BinarySearch(c.Services, first.Service)
	listed := 0
	for ; start+listed < len(c.Services) && c.Services[start+listed] == first.Service; listed++ {
	}
	return end-i < listed
}

// checkTime adds an error if a time is out of range.
func (f *finder) checkTime(field Field, name string, d time.Duration) {
	switch {
	case d > MaxTime:
		f.add(Error, OutOfRange, field, "%s must be at most %v", name, MaxTime)
	case d < -MaxTime:
		f.add(Error, OutOfRange, field, "%s must be at least %v", name, -MaxTime)
	}
}

func (c Configuration) routeErrors(f *finder, r Route) {
	if r.Timeout <= 0 {
		f.add(Error, NoTimeout, TimeoutField, "the timeout must be positive")
	}
	f.checkTime(TimeoutField, "the timeout", r.Timeout)
	f.checkTime(ObjectiveField, "the objective", r.Objective)
	weighted := false
	for _, s := range r.Split {
		if _, exists := slices.BinarySearch(c.Services, s.Service); !exists {
			f.add(Error, UnknownService, SplitField, "unknown service %q", s.Service)
		}
		if s.Weight < 0 {
			f.add(Error, NegativeWeight, SplitField, "service %q has the negative weight %d", s.Service, s.Weight)
		}
		if s.Weight > MaxWeight {
			f.add(Error, OutOfRange, SplitField, "service %q has the weight %d, above %d", s.Service, s.Weight, MaxWeight)
		}
		weighted = weighted || s.Weight > 0
	}
	if !weighted {
		f.add(Error, NoWeight, SplitField, "no service has a weight")
	}
}

// linter collects the warnings.
type linter struct {
	c          Configuration
	deployment *Deployment // nil if the settings are unknown
	findings   []Finding
}

func (l *linter) collect(about Finding, check func(*finder)) {
	f := finder{about: about}
	check(&f)
	l.findings = append(l.findings, f.findings...)
}

func (l *linter) route(r Route) {
	l.collect(Finding{Route: r.Name, Address: r.Address}, func(f *finder) {
		if r.Name == "" {
			f.add(Warning, Unnamed, NameField, "has no name")
		}
		if r.Address.IsValid() && r.Address.Port() == 0 {
			f.add(Warning, NoPort, AddressField, "no flow has port 0: the route never matches")
		}
		if r.Address.Addr().IsUnspecified() {
			f.add(Warning, UnspecifiedAddress, AddressField, "no flow has the address %v: the route never matches", r.Address.Addr())
		}
		l.times(f, r)
		if r.Priority < 0 {
			f.add(Warning, NegativePriority, PriorityField, "the priority %d is above 0, the highest", r.Priority)
		}
		lintSplit(f, r)
	})
}

func (l *linter) times(f *finder, r Route) {
	if !InRange(r.Timeout) || !InRange(r.Objective) {
		return // an error, and nothing to compare with
	}
	if r.Objective < 0 {
		f.add(Warning, NegativeObjective, ObjectiveField, "the objective %v is negative", r.Objective)
	}
	if r.Timeout <= 0 {
		return // an error, and nothing to compare with
	}
	if r.Objective > r.Timeout {
		f.add(Warning, ObjectiveAbove, ObjectiveField, "the objective %v is above the timeout %v", r.Objective, r.Timeout)
	}
	if idle, origin := l.c.idleTimeout(); idle < r.Timeout {
		f.add(Warning, IdleBelowTimeout, TimeoutField,
			"the timeout %v is above the idle timeout %v%s: a flow may be expired while its caller waits", r.Timeout, idle, origin)
	}
	l.deployment.price(f, r)
	if r.Kind != Upload {
		return
	}
	l.deployment.upload(f, r)
	if r.Objective == 0 {
		f.add(Warning, NoUploadObjective, ObjectiveField,
			"uploads have no objective, which decides whether a busy link accepts another one")
	}
}

// idleTimeout returns the idle timeout in effect and, if it is a default, a remark.
func (c Configuration) idleTimeout() (time.Duration, string) {
	if c.IdleTimeout > 0 {
		return c.IdleTimeout, ""
	}
	return DefaultIdleTimeout, " (the default)"
}

func lintSplit(f *finder, r Route) {
	seen := map[string]bool{}
	weighted := slices.ContainsFunc(r.Split, func(s WeightedService) bool { return s.Weight > 0 })
	for _, s := range r.Split {
		if s.Weight == 0 && weighted { // without any weight, that is an error
			f.add(Warning, ZeroWeight, SplitField, "service %q has the weight 0 and gets no flows", s.Service)
		}
		if seen[s.Service] {
			f.add(Warning, RepeatedInSplit, SplitField, "service %q is listed twice: its weights are added up", s.Service)
		}
		seen[s.Service] = true
	}
}

func (l *linter) services() {
	for i, s := range l.c.Services {
		l.collect(Finding{Service: s}, func(f *finder) {
			if s == "" {
				f.add(Warning, Unnamed, ServicesField, "a service has no name")
			}
			if i > 0 && l.c.Services[i-1] == s {
				f.add(Warning, RepeatedService, ServicesField, "is listed more than once")
			}
		})
	}
	for _, limit := range l.c.Cold {
		l.collect(Finding{Service: limit.Service}, func(f *finder) {
			switch {
			case limit.Start == 0:
				f.add(Warning, ColdLimitNeverBinds, ColdStartField, "backend servers are never cold: the limit for cold ones never binds")
			case l.deployment != nil:
				l.deployment.cold(f, limit)
			case limit.PerSecond == 0 && limit.Start > 0:
				f.add(Warning, NoNewFlowsWhileCold, ColdPerSecondField,
					"a backend server gets no new flows beyond the permitted slack for %v after its start", limit.Start)
			}
		})
	}
}

func (l *linter) whole() {
	used := map[string]bool{}
	names := map[string]bool{}
	for _, r := range l.c.Routes {
		if r.Name != "" && names[r.Name] {
			l.collect(Finding{Route: r.Name, Address: r.Address}, func(f *finder) {
				f.add(Warning, RepeatedRoute, NameField, "another route has the same name")
			})
		}
		names[r.Name] = true
		for _, s := range r.Split {
			used[s.Service] = used[s.Service] || s.Weight > 0
		}
	}
	for _, s := range slices.Compact(slices.Clone(l.c.Services)) {
		if s != "" && !used[s] {
			l.unused(s)
		}
	}
	l.collect(Finding{}, func(f *finder) {
		if len(l.c.Routes) == 0 {
			f.add(Warning, NoRoutes, RoutesField, "there are no routes: all flows are reset")
		}
		if l.c.IdleTimeout < 0 && InRange(l.c.IdleTimeout) {
			f.add(Warning, NegativeIdle, IdleTimeoutField, "the idle timeout is negative: %v applies", DefaultIdleTimeout)
		}
		if l.deployment != nil && l.deployment.ColdLimit != nil && len(l.c.Cold) == 0 {
			f.add(Warning, ColdBoundWithoutLimit, ServicesField,
				"the settings have a bound for cold backend servers, but no service has a limit")
		}
		samePriority := func(r Route) bool { return r.Priority == l.c.Routes[0].Priority }
		if len(l.c.Routes) > 1 && !slices.ContainsFunc(l.c.Routes, func(r Route) bool { return !samePriority(r) }) {
			f.add(Warning, EqualPriorities, PriorityField,
				"all routes have the priority %d: under overload none is preferred", l.c.Routes[0].Priority)
		}
	})
}

func (l *linter) unused(service string) {
	l.collect(Finding{Service: service}, func(f *finder) {
		if _, limited := l.c.ColdLimit(service); limited {
			f.add(Warning, ColdLimitNeverBinds, ServicesField, "no route sends flows to it: its limit for cold backend servers never binds")
			return
		}
		f.add(Warning, UnusedService, ServicesField, "no route sends flows to it")
	})
}

// SortFindings sorts errors before warnings, and otherwise keeps the order.
func SortFindings(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int { return cmp.Compare(a.Severity, b.Severity) })
}
