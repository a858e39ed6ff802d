// Package cold limits the new flows of backend servers that have just started.
//
// A cold backend server may receive only a few opening packets in any one second
// (Bound), summed over all instances, whether these can reach each other or not. The
// bound holds because the whole limit is given to one instance: the leader of the control
// replicas grants each cold period of a backend server once (Granter), and an instance
// sends a cold backend server nothing without a grant (Limiter).
//
// A cold period is identified by the backend server, its incarnation and its end. Clocks
// of machines differ, so a Grant carries the time that remains. It reaches its instance
// late by an unknown time, which makes its end there later by at most MaxLateness;
// receivers discard the grants that may be older (PauseDetector). Until this time and a
// window have passed after the end of a grant, the backend server's limit goes to the same
// instance, whose window goes on, or to none.
//
// # Usage
//
//	grants := granter.Grant(now, leaderSince, periods, instances) // at the leader
//	granter.Record(now, grants)                                   // at the other replicas
//
//	limiter.Accept(now, grant)                                    // at the instance
//	if limiter.Allows(now, id, incarnation, bound.PerSecond(rate)) {
//		limiter.Record(now, id)
//	}
//
// No type here is safe for concurrent use. Times are readings of the boot clock of one
// machine: a clock that stands still while the machine is suspended would let a grant
// outlast its end.
package cold

import (
	"math"
	"time"
)

// Bound is the limit on the opening packets that a cold backend server may receive in
// any one second, in terms of what it can process. The zero value sets no limit.
type Bound struct {
	// Overage is a factor on the requests a second that a cold backend server can
	// process, and Slack a number of requests that is added.
	Overage, Slack float64
	// Set is false if there is no limit.
	Set bool
}

// MaxPerSecond is the largest limit, in opening packets a second. It is above what any link
// carries, and an int holds it on every machine.
const MaxPerSecond = math.MaxInt32

// PerSecond returns the largest number of opening packets in any one second to a cold
// backend server that can process rate requests a second. It is 0 where the product or the
// sum is negative or not a number, and at most MaxPerSecond.
func (b Bound) PerSecond(rate float64) int {
	// Without the conversion, some processors compute product and sum with one rounding.
	limit := float64(rate*b.Overage) + b.Slack
	switch {
	case !(limit > 0): // also if it is not a number
		return 0
	case limit >= MaxPerSecond:
		return MaxPerSecond
	}
	return int(limit)
}

// Grant gives one instance the whole limit of one cold period of a backend server.
type Grant struct {
	Server      uint64 `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
	// Remaining is the time until the period ends, as of when the grant was made.
	Remaining time.Duration `cbor:"3,keyasint"`
	// Instance identifies the process of the instance (Instance.Process).
	Instance uint64 `cbor:"4,keyasint"`
}

// Instance is an entry instance that may get grants.
type Instance struct {
	// Process identifies one start of the instance. A later start has sent nothing yet
	// and does not know what the earlier one has sent, so it is another instance.
	Process uint64 `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint,omitempty"`
	Zone    string `cbor:"3,keyasint,omitempty"`
}

// MaxLateness is by how much the end of a grant may be later at its instance than at the
// leader. The message takes two links, each of which is closed after 0.9 s of silence,
// and each receiver may have been paused for less than a PauseDetector notices; 2 s
// cover any two of these four.
const MaxLateness = 2 * time.Second

// PauseDetector notices that a process was not running for some time, so that messages
// that it then reads may be old. The zero value is ready to use.
type PauseDetector struct {
	// Limit is the time between two calls of Run above which the process was paused.
	Limit    time.Duration
	ran      bool
	ranAt    time.Duration
	resumeAt time.Duration // when the latest pause was noticed
	paused   bool
}

// settleTime is how long after a pause messages may still be from before its end: the
// process has to read all that arrived meanwhile.
const settleTime = time.Second

// Run records that the process runs. It is called at intervals well below Limit.
func (d *PauseDetector) Run(now time.Duration) {
	d.check(now)
	d.ran, d.ranAt = true, now
}

func (d *PauseDetector) check(now time.Duration) {
	if d.ran && now-d.ranAt > d.Limit {
		d.paused, d.resumeAt = true, now
	}
}

// MayBeOld reports whether a message that is read now may have arrived long ago.
func (d *PauseDetector) MayBeOld(now time.Duration) bool {
	d.check(now)
	return d.paused && now-d.resumeAt < settleTime
}
