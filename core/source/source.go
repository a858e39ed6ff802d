// Package source selects the control replicas from which an entry instance receives
// updates.
//
// An instance keeps links to two replicas, so that each replica sends its updates to its
// share of the instances only, and a standby is at hand when that replica fails. It
// subscribes to the updates of one of them, the active source. The standby only reports
// whether it has contact to a leader, and the version of its configuration.
//
// A source is usable when its link is up and it has contact to a leader. The active
// source is replaced at once when its link is down, and when it has no contact while
// another source has had contact for contactGrace. It is also replaced when the standby has
// had a newer configuration for lagTimeout, or when a replica in the instance's own
// availability zone has been usable for settleTime.
//
// # Usage
//
//	s := source.Selector{Zone: zone, Rand: rand.IntN}
//	s.SetKnown(addresses)
//	s.Connected(now, address)               // and the other events of links
//	actions := s.Step(now, version)         // after each event, and a few times a second
//	// close and open links, and subscribe to actions.Active
//
// A Selector is not safe for concurrent use. Times are readings of one monotonic clock.
package source

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// linkCount is the number of links that an instance keeps. The standby is opened when
	// the active source has been usable for standbyDelay: after a restart of the whole
	// fleet replicas have all instances to serve, and standbys can wait.
	linkCount    = 2
	standbyDelay = time.Second
	// While no source is usable and has a configuration, the instance opens one link, and
	// another after each fallbackDelay and for each source without state, up to
	// maxFallbacks.
	fallbackDelay = 150 * time.Millisecond
	maxFallbacks  = 3
	// unusableTimeout is how long a link may be unusable before another is opened
	// instead.
	unusableTimeout = 1200 * time.Millisecond
	// settleTime is how long a replica of the own availability zone must have been
	// usable before it replaces a usable active source. A replica that has just
	// started may still lack changes.
	settleTime = 2 * time.Second
	// contactGrace is how long a source must have been usable before it replaces one
	// without contact. After an election all replicas regain contact within this time.
	contactGrace = 300 * time.Millisecond
	// lagTimeout is how long the standby may have a newer configuration than the
	// instance. Updates of the active source normally arrive within 0.1 s of it.
	lagTimeout = 600 * time.Millisecond
)

// Selector holds the state of an instance's links. The zero value knows no replica.
type Selector struct {
	// Zone is the availability zone of the instance.
	Zone string
	// Rand returns a number in [0, n). If nil, 0 is used.
	Rand func(n int) int

	known  []string
	zones  map[string]string // of replicas, by address
	links  map[string]*link  // by address
	active string
	// version is that of the instance's configuration.
	version uint64
	// servedAt is the latest time at which a source was usable and had a configuration.
	servedAt time.Duration
}

// link is the state of one link as its events and its source's reports show it.
type link struct {
	up, contact bool
	reported    bool          // its source has reported its contact and version
	changedAt   time.Duration // when it was opened, or up or contact changed
	version     uint64
	versionAt   time.Duration // when version was reported first
}

// Actions is what the caller must do to its links.
type Actions struct {
	Open, Close []string
	// Active is the source to subscribe to, or "".
	Active string
}

// SetKnown sets the addresses of the replicas.
func (s *Selector) SetKnown(addresses []string) { s.known = slices.Clone(addresses) }

// SetZones sets the availability zones of replicas, by address.
func (s *Selector) SetZones(zones map[string]string) { s.zones = maps.Clone(zones) }

// Connected records that a link is up. Events of links that are not open are ignored.
func (s *Selector) Connected(now time.Duration, address string) {
	if l := s.links[address]; l != nil {
		*l = link{up: true, changedAt: now}
	}
}

// Disconnected records that a link is down.
func (s *Selector) Disconnected(now time.Duration, address string) {
	if l := s.links[address]; l != nil {
		*l = link{changedAt: now}
	}
}

// ReportContact records whether a source has contact to a leader.
func (s *Selector) ReportContact(now time.Duration, address string, contact bool) {
	l := s.links[address]
	if l == nil || !l.up {
		return
	}
	l.reported = true
	if l.contact != contact {
		l.contact, l.changedAt = contact, now
	}
}

// ReportVersion records the version of a source's configuration.
func (s *Selector) ReportVersion(now time.Duration, address string, version uint64) {
	if l := s.links[address]; l != nil && l.up && version > l.version {
		l.version, l.versionAt = version, now
	}
}

// Usable reports whether any source is usable.
func (s *Selector) Usable() bool {
	for _, l := range s.links {
		if l.usable() {
			return true
		}
	}
	return false
}

// LinksUp returns the number of links that are up.
func (s *Selector) LinksUp() int {
	n := 0
	for _, l := range s.links {
		if l.up {
			n++
		}
	}
	return n
}

// Step decides on the links of an instance whose configuration has a version. The
// links to open count as open afterwards, and those to close as closed.
func (s *Selector) Step(now time.Duration, version uint64) Actions {
	s.version = version
	if s.servedSince(now) >= 0 {
		s.servedAt = now
	}
	s.active = s.chooseActive(now)
	a := Actions{Active: s.active}
	a.Open = s.openLinks(now)
	a.Close = s.closeLinks(now)
	return a
}

func (l *link) usable() bool { return l.up && l.contact }

// promising reports whether a link is usable, or may still become so.
func (l *link) promising(now time.Duration) bool {
	return l.usable() || now-l.changedAt < unusableTimeout
}

// isLocal reports whether a replica is in the instance's availability zone.
func (s *Selector) isLocal(address string) bool { return s.Zone != "" && s.zones[address] == s.Zone }

// chooseActive returns the source to subscribe to: the current one unless another is to
// replace it.
func (s *Selector) chooseActive(now time.Duration) string {
	best := s.bestSource()
	current := s.links[s.active]
	switch {
	case best == "":
		return ""
	case current == nil || !current.up, s.isEmpty(current) && !s.isEmpty(s.links[best]):
		return best
	case !current.usable():
		return cmp.Or(s.longestUsable(now), s.active)
	}
	if ahead := s.sourceAhead(now); ahead != "" {
		return ahead
	}
	settled := now-s.links[best].changedAt >= settleTime
	if s.isLocal(best) && !s.isLocal(s.active) && settled {
		return best
	}
	return s.active
}

// isEmpty reports whether an instance without state follows a source without state, such
// as a replica that has lost its disk.
func (s *Selector) isEmpty(l *link) bool { return s.version == 0 && l.reported && l.version == 0 }

// longestUsable returns the source that has been usable for longest, if that is at least
// contactGrace, or "".
func (s *Selector) longestUsable(now time.Duration) string {
	longest := ""
	for _, a := range slices.Sorted(maps.Keys(s.links)) {
		l := s.links[a]
		if !l.usable() || now-l.changedAt < contactGrace {
			continue
		}
		if longest == "" || l.changedAt < s.links[longest].changedAt {
			longest = a
		}
	}
	return longest
}

// bestSource returns the address of the best link that is up: those with state first,
// then usable ones, then those in the own availability zone, then those that have not changed for longest.
func (s *Selector) bestSource() string {
	best := ""
	for _, a := range slices.Sorted(maps.Keys(s.links)) {
		if s.links[a].up && (best == "" || s.compare(a, best) < 0) {
			best = a
		}
	}
	return best
}

// compare orders two links that are up, the better one first.
func (s *Selector) compare(a, b string) int {
	x, y := s.links[a], s.links[b]
	return cmp.Or(
		trueFirst(!s.isEmpty(x), !s.isEmpty(y)),
		trueFirst(x.usable(), y.usable()),
		trueFirst(s.isLocal(a), s.isLocal(b)),
		cmp.Compare(x.changedAt, y.changedAt))
}

func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// sourceAhead returns a usable source that has had a newer configuration than the
// instance for lagTimeout, or "". It does not wait for an active source that has no
// configuration at all.
func (s *Selector) sourceAhead(now time.Duration) string {
	timeout := lagTimeout
	if s.links[s.active].version == 0 {
		timeout = 0
	}
	for _, a := range slices.Sorted(maps.Keys(s.links)) {
		l := s.links[a]
		if a != s.active && l.usable() && l.version > s.version && now-l.versionAt >= timeout {
			return a
		}
	}
	return ""
}

// openLinks opens links until enough are promising, one of them in the own availability
// zone if it has a replica.
func (s *Selector) openLinks(now time.Duration) (opened []string) {
	for _, a := range s.unlinked() {
		if s.isLocal(a) && !s.hasLocal(now, a) || s.promisingCount(now) < s.wantedLinks(now) {
			s.open(now, a)
			opened = append(opened, a)
		}
	}
	return opened
}

func (s *Selector) open(now time.Duration, address string) {
	if s.links == nil {
		s.links = map[string]*link{}
	}
	s.links[address] = &link{changedAt: now}
}

// wantedLinks returns the number of promising links that the instance needs.
func (s *Selector) wantedLinks(now time.Duration) int {
	served := s.servedSince(now)
	switch {
	case served < 0:
		return min(maxFallbacks, 1+s.emptyCount()+int((now-s.servedAt)/fallbackDelay))
	case served < standbyDelay:
		return 1
	default:
		return linkCount
	}
}

// emptyCount returns the number of links to sources without state.
func (s *Selector) emptyCount() int {
	n := 0
	for _, l := range s.links {
		if s.isEmpty(l) {
			n++
		}
	}
	return n
}

// servedSince returns for how long a source has been usable and had a configuration, or
// a negative time if none is.
func (s *Selector) servedSince(now time.Duration) time.Duration {
	longest := -time.Nanosecond
	for _, l := range s.links {
		if l.usable() && max(l.version, s.version) > 0 {
			longest = max(longest, now-l.changedAt)
		}
	}
	return longest
}

func (s *Selector) promisingCount(now time.Duration) int {
	n := 0
	for _, l := range s.links {
		if l.promising(now) {
			n++
		}
	}
	return n
}

// hasLocal reports whether a link other than the one to an address leads to a replica in
// the own availability zone and is promising.
func (s *Selector) hasLocal(now time.Duration, except string) bool {
	for a, l := range s.links {
		if a != except && s.isLocal(a) && l.promising(now) {
			return true
		}
	}
	return false
}

// unlinked returns the known replicas without a link in random order, those in the own
// availability zone first.
func (s *Selector) unlinked() []string {
	out := slices.DeleteFunc(slices.Sorted(slices.Values(s.known)), func(a string) bool { return s.links[a] != nil })
	for i := len(out) - 1; i > 0 && s.Rand != nil; i-- {
		j := s.Rand(i + 1)
		out[i], out[j] = out[j], out[i]
	}
	slices.SortStableFunc(out, func(a, b string) int { return trueFirst(s.isLocal(a), s.isLocal(b)) })
	return out
}

// closeLinks closes the links that others have replaced, and those beyond linkCount
// once that many are usable. The only link to a replica in the own availability zone is
// kept while that replica is down.
func (s *Selector) closeLinks(now time.Duration) (closed []string) {
	for _, a := range slices.Sorted(maps.Keys(s.links)) {
		if s.isSurplus(now, a) {
			delete(s.links, a)
			closed = append(closed, a)
		}
	}
	return closed
}

// isSurplus reports whether the link to an address can be closed.
func (s *Selector) isSurplus(now time.Duration, address string) bool {
	l := s.links[address]
	switch {
	case address == s.active:
		return false
	case !slices.Contains(s.known, address):
		return !l.promising(now)
	case s.isLocal(address) && !s.hasLocal(now, address):
		return false
	case l.promising(now):
		return s.usableCount(address) >= max(linkCount, s.wantedLinks(now))
	default:
		return len(s.links) > s.wantedLinks(now)
	}
}

// usableCount returns the number of usable links other than the one to an address.
func (s *Selector) usableCount(except string) int {
	n := 0
	for a, l := range s.links {
		if a != except && l.usable() {
			n++
		}
	}
	return n
}
