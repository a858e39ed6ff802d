package sched

import (
	"time"

	"boragepost/core/flow"
)

const (
	// minLearned is the number of completed uploads of a route from which on its mean
	// size is trusted: the mean of eight log-normal sizes is within a third in most cases.
	minLearned = 8
	// meanWeight is the weight of the latest upload in a route's mean size. At 1.6
	// uploads a second the mean follows a change within 20 s.
	meanWeight = 1.0 / 32
	// busyShare is the share of refused uploads from which on the timeout is the limit:
	// the callers' next attempts then reach instances that refuse as well.
	busyShare = 0.5
	// shareTime is the period for the share of refused uploads: about the time of a
	// caller's first attempt and its retries.
	shareTime = 2 * time.Second
	// interactiveTime is the period for the rate of interactive traffic.
	interactiveTime = time.Second
	// maxRefusals bounds the refused openings that are remembered. When it is reached,
	// the oldest is forgotten, and its retransmission is decided anew: nothing has run.
	maxRefusals = 4096
)

// Situation holds the inputs to the decision on an upload's opening packet.
type Situation struct {
	// Open is the number of uploads that are open, and Remaining the bytes that they
	// are expected to send still.
	Open      int
	Remaining float64
	// Size is the expected size of the new upload in bytes on the link, and Learned the
	// number of completed uploads that it was learned from.
	Size    float64
	Learned int
	// Rate is that of the link and Interactive that of other traffic, in bytes per
	// second.
	Rate, Interactive float64
	// Objective and Timeout are those of the route. An objective of 0 means the timeout.
	Objective, Timeout time.Duration
	// Seen is the number of uploads that asked for admission recently, and Refused the
	// number of those that were refused.
	Seen, Refused int
}

// Admission is the decision on an upload's opening packet.
type Admission struct {
	Situation
	// Admitted is false if the upload must be refused.
	Admitted bool
	// Wait is the expected time until the upload is complete, and Limit the longest one
	// with which it is admitted.
	Wait, Limit time.Duration
}

// Admit decides whether an upload can be completed in time after those that are open.
// It admits every upload before the size is learned.
func Admit(s Situation) Admission {
	free := max(s.Rate-s.Interactive, minShare*s.Rate)
	a := Admission{Situation: s, Limit: s.Timeout}
	a.Wait = time.Duration((s.Remaining + s.Size) / free * float64(time.Second))
	if s.Objective > 0 && float64(s.Refused) < busyShare*float64(max(s.Seen, 1)) {
		a.Limit = min(s.Objective, s.Timeout)
	}
	a.Admitted = s.Learned < minLearned || a.Wait <= a.Limit
	return a
}

// window sums values over a sliding period. The zero value is empty.
type window struct {
	buckets [windowBuckets]float64
	latest  int64 // number of the latest bucket
}

// windowBuckets is the number of buckets of a period.
const windowBuckets = 10

func (w *window) add(now, period time.Duration, value float64) {
	w.advance(now, period)
	w.buckets[w.latest%windowBuckets] += value
}

// sum returns the sum of the values of the last period, or of up to a tenth less.
func (w *window) sum(now, period time.Duration) (sum float64) {
	w.advance(now, period)
	for _, v := range w.buckets {
		sum += v
	}
	return sum
}

// rate returns the sum of the values of the last period per second.
func (w *window) rate(now, period time.Duration) float64 {
	bucket := period / windowBuckets
	return w.sum(now, period) / (period - bucket + now%bucket).Seconds()
}

func (w *window) advance(now, period time.Duration) {
	n := int64(now / (period / windowBuckets))
	for i := max(w.latest+1, n-windowBuckets+1); i <= n; i++ {
		w.buckets[i%windowBuckets] = 0
	}
	w.latest = max(w.latest, n)
}

// refusals remembers refused opening packets for as long as they may be retransmitted.
// The zero value is empty.
type refusals struct {
	flows map[flow.Key]refusal
	order []refusal // the oldest first
}

type refusal struct {
	key flow.Key
	seq uint32
	at  time.Duration
}

// contains reports whether an opening packet was refused after the time since, from which
// on its route has been one of uploads. A retransmission may have been forwarded before.
func (r *refusals) contains(now time.Duration, h flow.CookieHeader, since time.Duration) bool {
	x, ok := r.flows[h.Key()]
	return ok && x.seq == h.Seq && x.at > since && now-x.at <= openingLife
}

func (r *refusals) add(now time.Duration, h flow.CookieHeader) {
	r.expire(now)
	if len(r.order) >= maxRefusals {
		r.forgetOldest()
	}
	if r.flows == nil {
		r.flows = map[flow.Key]refusal{}
	}
	x := refusal{key: h.Key(), seq: h.Seq, at: now}
	r.flows[x.key] = x
	r.order = append(r.order, x)
}

func (r *refusals) expire(now time.Duration) {
	for len(r.order) > 0 && now-r.order[0].at > openingLife {
		r.forgetOldest()
	}
}

func (r *refusals) forgetOldest() {
	x := r.order[0]
	r.order = r.order[1:]
	if r.flows[x.key] == x {
		delete(r.flows, x.key)
	}
}
