package sched

import (
	"net/netip"
	"time"

	"boragepost/core/config"
	"boragepost/core/flow"
)

const (
	// maxUploads bounds the uploads that are tracked. A link of 2 Mbit/s has a handful.
	// An upload beyond the bound is admitted, and each run of its queued packets is
	// scheduled as a request that starts with the first of them.
	maxUploads = 4096
	// uploadRetention is how long an upload is remembered after its last packet if it is
	// complete or its caller has given up. It exceeds openingLife, so that no delayed copy
	// of an opening packet is taken for a new flow.
	uploadRetention = 2 * time.Second
	// fullPacketData is the data of a full packet in bytes.
	fullPacketData = 1200
	// overheadBytes is the data after which the measured overhead of packets counts
	// half: the data of about 25 uploads.
	overheadBytes = 1 << 20
)

// upload is the state of one flow of an upload route.
type upload struct {
	route    netip.AddrPort
	timeout  time.Duration
	start    time.Duration // of the request
	lastSeen time.Duration
	opening  uint32 // stream position of the opening packet
	base     uint32 // stream position at the start of the request
	received uint32 // highest stream position received
	sent     uint32 // highest stream position sent
	ack      uint32 // response position that the caller has acknowledged
	whole    bool   // base is the start of the request, so its size can be learned
	acked    bool   // ack is set
	done     bool   // the request has been answered, or its flow has ended
}

// isOpen reports whether the upload is expected to send more.
func (f *upload) isOpen(now time.Duration) bool {
	if f.received == f.opening && !f.acked && now-f.lastSeen > openingLife {
		return false // the opening packet had no answer
	}
	return !f.done && now-f.start <= f.timeout
}

// remaining returns the data in bytes that the upload is expected to send still, if
// uploads of its route have a mean size: at least what is queued, and a packet.
func (f *upload) remaining(mean float64) float64 {
	return max(mean-float64(f.sent-f.base), float64(f.received-f.sent), fullPacketData)
}

// routeSize is the size of the uploads of a route, learned from completed ones.
type routeSize struct {
	mean    float64 // bytes of data
	learned int
	// since is when the route became one of uploads. Opening packets that were
	// forwarded before it are not known.
	since time.Duration
}

func (r *routeSize) learn(size float64) {
	r.learned++
	r.mean += (size - r.mean) * max(meanWeight, 1/float64(r.learned))
}

// uploads tracks the flows of upload routes. The zero value is empty.
type uploads struct {
	flows map[flow.Key]*upload
	sizes map[netip.AddrPort]*routeSize
	// sentData and sentBytes are the data sent and its size on the link.
	sentData, sentBytes float64
	// untrackedAt is when an opening packet was last passed without state.
	untrackedAt time.Duration
	untracked   bool

	refusals refusals
	// asked counts the opening packets that asked for admission, and refused those that
	// were refused, without retransmissions.
	asked, refused window
}

// configure sets the routes. The sizes of routes that are no longer ones of uploads are
// forgotten.
func (u *uploads) configure(now time.Duration, c config.Configuration) {
	old := u.sizes
	u.sizes = map[netip.AddrPort]*routeSize{}
	for _, r := range c.Routes {
		if r.Kind != config.Upload {
			continue
		}
		if u.sizes[r.Address] = old[r.Address]; old[r.Address] == nil {
			u.sizes[r.Address] = &routeSize{since: now}
		}
	}
}

// admit decides on an opening packet. decided is false for a retransmission, on which
// the decision is that on the earlier one.
func (u *uploads) admit(now time.Duration, h flow.CookieHeader, route *config.Route, rate, interactive float64) (a Admission, decided bool) {
	// The opening packet of a flow that is open or has just been was forwarded, so
	// this one must not be refused, whatever its stream position.
	if f := u.flows[h.Key()]; f != nil && (!f.done || f.opening == h.Seq) {
		return Admission{Admitted: true}, false
	}
	size := u.sizes[route.Address]
	if u.refusals.contains(now, h, size.since) {
		return Admission{}, false
	}
	if h.Retransmit {
		// Another instance may have forwarded the first transmission, and the flow may be
		// open.
		return Admission{Admitted: true}, false
	}
	a = Admit(u.situation(now, route, rate, interactive))
	if now-size.since < openingLife || u.untracked && now-u.untrackedAt < openingLife {
		a.Admitted = true // an earlier copy may have been forwarded
	}
	u.asked.add(now, shareTime, 1)
	if !a.Admitted {
		u.refused.add(now, shareTime, 1)
		u.refusals.add(now, h)
	}
	return a, true
}

func (u *uploads) situation(now time.Duration, route *config.Route, rate, interactive float64) Situation {
	size := u.sizes[route.Address]
	s := Situation{
		Size: size.mean * u.overhead(), Learned: size.learned, Rate: rate, Interactive: interactive,
		Objective: route.Objective, Timeout: route.Timeout,
		Seen: int(u.asked.sum(now, shareTime)), Refused: int(u.refused.sum(now, shareTime)),
	}
	for _, f := range u.flows {
		if size := u.sizes[f.route]; size != nil && f.isOpen(now) {
			s.Open++
			s.Remaining += f.remaining(size.mean) * u.overhead()
		}
	}
	return s
}

// overhead returns the size on the link of a byte of data.
func (u *uploads) overhead() float64 {
	if u.sentData == 0 {
		return float64(fullPacketBytes) / fullPacketData
	}
	return u.sentBytes / u.sentData
}

// observe records a packet of an upload route, and returns the state of its flow, or nil
// if it is not tracked.
func (u *uploads) observe(now time.Duration, h flow.CookieHeader, route *config.Route) *upload {
	key := h.Key()
	f := u.flows[key]
	if f == nil || h.Start && (f.done || h.Seq != f.opening) {
		if f == nil && len(u.flows) >= maxUploads {
			if h.Start {
				u.untracked, u.untrackedAt = true, now
			}
			return nil
		}
		if u.flows == nil {
			u.flows = map[flow.Key]*upload{}
		}
		f = &upload{route: h.Dest, start: now, opening: h.Seq, base: h.Seq, received: h.Seq, sent: h.Seq, whole: h.Start}
		u.flows[key] = f
	}
	f.lastSeen, f.timeout = now, route.Timeout
	if !h.Start {
		u.progress(now, f, h)
	}
	return f
}

// progress records a packet after the opening packet.
func (u *uploads) progress(now time.Duration, f *upload, h flow.CookieHeader) {
	end := h.Seq + uint32(h.Length)
	switch {
	case !f.acked:
		f.ack, f.acked = h.Ack, true
	case int32(h.Ack-f.ack) > 0:
		f.ack = h.Ack
		u.complete(now, f)
	}
	if f.done && h.Data && !h.Finish && int32(end-f.received) > 0 {
		f.start, f.base, f.sent, f.whole, f.done = now, h.Seq, h.Seq, true, false
	}
	if int32(end-f.received) > 0 {
		f.received = end
	}
	if h.Finish {
		u.complete(now, f)
	}
}

// complete records that the request of a flow has been answered, or that its flow has
// ended. The size of a request that has timed out is not learned: its caller may have
// ended it early.
func (u *uploads) complete(now time.Duration, f *upload) {
	size := u.sizes[f.route]
	data := f.received - f.base
	if f.isOpen(now) && f.whole && size != nil && data > 0 {
		size.learn(float64(data))
	}
	f.done = true
}

// end records that the flow of a packet was reset.
func (u *uploads) end(h flow.CookieHeader) {
	if f := u.flows[h.Key()]; f != nil {
		f.done = true
	}
}

// depart records that a packet with upload data was sent.
func (u *uploads) depart(h flow.CookieHeader, size int) {
	if u.sentData >= overheadBytes {
		u.sentData, u.sentBytes = u.sentData/2, u.sentBytes/2
	}
	u.sentData += float64(h.Length)
	u.sentBytes += float64(size)
	f := u.flows[h.Key()]
	if end := h.Seq + uint32(h.Length); f != nil && int32(end-f.sent) > 0 {
		f.sent = end
	}
}

// expire removes the uploads that are complete or whose callers have given up.
func (u *uploads) expire(now time.Duration) {
	u.refusals.expire(now)
	for key, f := range u.flows {
		if now-f.lastSeen > uploadRetention && !f.isOpen(now) {
			delete(u.flows, key)
		}
	}
}

// open returns the number of uploads that are open.
func (u *uploads) open(now time.Duration) (n int) {
	for _, f := range u.flows {
		if f.isOpen(now) {
			n++
		}
	}
	return n
}
