package relay

import (
	"time"

	"boragepost/core/flow"
	"boragepost/io/timer"
)

// resuming is the reason for which opening packets are held after a pause.
const resuming flow.Reason = "resuming"

const (
	// catchUpTime is how long after a pause opening packets wait for a source in contact.
	// An instance that finds none until then is cut off and continues with its last state.
	// A new connection takes about 0.1 s; to another entry instance peerDelay more.
	catchUpTime = peerDelay + 300*time.Millisecond
	// retransmitTime is how long callers wait before they retransmit an opening packet.
	// After a pause this long, the retransmission may have reached another instance.
	retransmitTime = 200 * time.Millisecond
	// grantPauseLimit is the pause above which grants that are read may be older than
	// cold.MaxLateness allows. A process that is held back by its share of a processor is
	// late by less.
	grantPauseLimit = 400 * time.Millisecond
	// recordsTime is how long after a pause of grantPauseLimit the records of backend servers
	// may be from before it. Those that wait in the buffers of a connection are read within
	// milliseconds; a new connection takes about 0.1 s.
	recordsTime = 300 * time.Millisecond
	// readTime is how long after a pause packets and grants may still be from before its
	// end: the process has to read all that arrived meanwhile. The packets that fill the
	// socket's buffer take a fifth of a processor about as long.
	readTime = time.Second
)

// pause detects that the instance was paused, for example while its machine was moved
// to another host. What has arrived meanwhile is read afterwards, in any order:
//   - Opening packets must not be placed by a set of evacuated zones from before a pause
//     of evacuationLimit.
//   - Opening packets that have waited for retransmitTime must not be reset: the flow may
//     have been opened through another instance.
//   - Backend servers may have become cold, so that opening packets wait for their records.
//   - The remaining times of grants for cold backend servers are as of when they were made.
//
// Relay.mu guards it.
type pause struct {
	// evacuationLimit is the shortest pause after which the set of evacuated zones may be
	// outdated; 0 if zones are not evacuated.
	evacuationLimit time.Duration
	// aliveAt is when the instance last ran, on the boot clock, which includes the time
	// for which the machine was suspended.
	aliveAt time.Duration
	// count is the number of pauses of evacuationLimit. A connection from before the latest
	// one may deliver updates that were sent before it.
	count uint64
	// catchUpEnds is until when, on the boot clock, opening packets are held; 0 if they
	// are not.
	catchUpEnds time.Duration
	// recordsOldUntil is until when, on the boot clock, the records of backend servers may be
	// from before a pause.
	recordsOldUntil time.Duration
	// openingsOldUntil and grantsOldUntil are until when, on the boot clock, opening
	// packets and grants that are read may have waited during a pause.
	openingsOldUntil, grantsOldUntil time.Duration
}

// init sets the limit for an evacuation that must be in force within bound. Half of it is
// left for the connection and the update after a shorter pause.
func (p *pause) init(bound time.Duration) { p.evacuationLimit, p.aliveAt = bound/2, timer.SinceBoot() }

// detect records that the instance runs. It returns the length of the pause that has just
// ended, or 0 if the set of evacuated zones cannot be outdated by it.
func (p *pause) detect() time.Duration {
	now := timer.SinceBoot()
	took := now - p.aliveAt
	p.aliveAt = now
	if took >= retransmitTime {
		p.openingsOldUntil = now + readTime
	}
	if took > grantPauseLimit {
		p.grantsOldUntil = now + readTime
		p.recordsOldUntil = now + recordsTime
	}
	if p.evacuationLimit == 0 || took < p.evacuationLimit {
		return 0
	}
	p.count++
	p.catchUpEnds = now + catchUpTime
	return took
}

// catchingUp reports whether opening packets must be held.
func (p *pause) catchingUp() bool {
	if p.catchUpEnds != 0 && p.aliveAt >= p.catchUpEnds {
		p.catchUpEnds = 0
	}
	return p.catchUpEnds != 0
}

// openingsOld reports whether an opening packet that is read now may have waited during a
// pause.
func (p *pause) openingsOld() bool { return p.aliveAt < p.openingsOldUntil }

// recordsOld reports whether the records of backend servers may be from before a pause.
func (p *pause) recordsOld() bool { return p.aliveAt < p.recordsOldUntil }

// grantsOld reports whether a grant that is read now may have waited during a pause.
func (p *pause) grantsOld() bool { return p.aliveAt < p.grantsOldUntil }

// catchingUp reports whether opening packets must be held after a pause: until the set of
// evacuated zones is up to date, and, where cold backend servers have a limit, until their
// records are. r.mu must be held.
func (r *Relay) catchingUp() bool {
	return r.pause.catchingUp() || r.pause.recordsOld() && r.limitsCold()
}

// detectPause connects to the sources again after a pause. r.mu must be held.
func (r *Relay) detectPause() {
	took := r.pause.detect()
	if took == 0 {
		return
	}
	r.log.WithField("for", took).WithField("revision", r.balancer.Evacuations().Revision).Warn("instanceResumed")
	r.upstream.reconnect()
}

// mayBeOpen reports whether a packet that is handled now is an opening packet of a flow that
// may have been opened through another instance while this one was paused. That is not
// tracked where no limit makes instances refuse flows that others accept. Elsewhere each
// packet shows that the instance runs, so that a late run of the periodic work is not taken
// for a pause. r.mu must be held.
func (r *Relay) mayBeOpen(h flow.CookieHeader) bool {
	if r.pause.evacuationLimit == 0 && !r.link.active() && !r.limitsCold() {
		return false
	}
	r.detectPause()
	return h.Start && r.pause.openingsOld()
}

// limitsCold reports whether a service has a limit for cold backend servers.
func (r *Relay) limitsCold() bool {
	if !r.cfg.ColdBound.Set {
		return false
	}
	current, _ := r.balancer.Config()
	return len(current.Cold) > 0
}
