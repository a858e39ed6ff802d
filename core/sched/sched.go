// Package sched schedules an entry instance's outgoing link. The packets that an
// instance receives share one queue in front of the link, so that the instance rather
// than the link decides which packet waits and which is dropped.
//
// # Order
//
// Each packet belongs to a class: packets without data (class 0), data of routes other
// than uploads by the priority of the route, and data of uploads. A lower class leaves
// first, but each class that has packets waiting gets at least a tenth of the rate.
// Packets of a class leave in the order of their arrival, those of uploads by the age
// of the request, oldest first, so that requests that have begun are completed. A flow
// is never reordered: its packets leave in the order of their arrival, and the flow
// has the class of its first queued packet.
//
// # Accounting
//
// All bytes sent are taken from a token bucket that fills at the rate (fill, account).
// Bytes that were not queued may make it negative, and the queue then waits longer. For
// the minimal shares, each class that has packets waiting earns a tenth of the bytes sent
// as credit (queue.credit) and pays for its own packets from it (queue.charge). A class
// whose credit covers its next packet leaves ahead of the lower ones.
//
// # Bounds
//
// The queue holds what the rate carries in two seconds. When it is full, the newest
// data packet of the youngest upload is dropped: that costs its sender one
// retransmission, while a drop from an older upload affects a caller who has waited
// longer. If uploads hold no more than a tenth of the queue, the newest packet of the
// largest class is dropped instead. Data whose caller has given up and retransmissions
// of queued packets are dropped as well. Every drop is reported with its reason.
//
// # Admission
//
// An opening packet of an upload is refused if the uploads that are open cannot be
// completed in time with it (Admit). The resets of refused uploads take at most a tenth of
// the rate. The mean size of a route's uploads is learned from
// completed ones.
//
// # Usage
//
//	s := sched.New(2e6)                  // bits per second of the link
//	s.Configure(now, configuration)
//	switch o := s.Offer(now, header, packet); o.Action {
//	case sched.Pass:                     // send it now; it is not copied
//	case sched.Refused:                  // reset the flow if SpendReset allows it
//	}
//	for p := s.Pop(now, 0); p != nil; p = s.Pop(now, 0) {
//		send(p.Header, p.Data)
//		s.Release(p)
//	}
//	at, waiting := s.Next(now)           // when to call Pop again
//	s.Spend(now, size)                   // a reset was sent
//	s.Refund(now, class, packet)         // a packet that has left was not sent, but kept
//	s.Resume(now, received, header, packet) // it may be sent now
//	s.Expire(now)                        // about once a second
//
// A Scheduler is not safe for concurrent use. Times are readings of one monotonic
// clock. Sizes are in bytes on the link, including the headers of lower layers.
package sched

import (
	"time"

	"boragepost/core/config"
	"boragepost/core/flow"
)

const (
	// usableShare of the link's capacity is for scheduled packets. The rest is for
	// control traffic, at most 5 kB/s or 2% of a link of 2 Mbit/s, and for the error of
	// the pacing.
	usableShare = 0.94
	// HeaderBytes are the UDP and IP headers of a datagram.
	HeaderBytes = 28
	// encapsulationBytes precede a packet to a backend server.
	encapsulationBytes = 8
	// fullPacketBytes is the size on the link of a packet with 1,200 B of data.
	fullPacketBytes = 1270
	// burstBytes is the capacity of the token bucket: two full packets, which even a
	// short queue in the network holds.
	burstBytes = 2 * fullPacketBytes
	// queueTime is how long the rate needs for a full queue. Packets that wait longer
	// are of little use to their callers, who retransmit them after 200 ms to 1.6 s.
	queueTime = 2 * time.Second
	// minQueueBytes lets a slow link hold three windows of 16 full packets.
	minQueueBytes = 64 << 10
	// openingLife is how long a caller waits for the answer to an opening packet before
	// it ends the attempt.
	openingLife = 1400 * time.Millisecond
	// minShare of the rate is for each class that has packets waiting.
	minShare = 0.1
	// maxPriority is the lowest priority that has a class of its own. With the classes
	// of packets without data and of uploads there are nine, whose minimal shares fit
	// into the rate.
	maxPriority = 6
)

// Class is a class of packets. Lower classes leave first.
type Class int8

// The classes. Data of a route with priority p has class firstInteractive+p.
const (
	Control          Class = 0 // packets without data
	firstInteractive Class = 1
	Uploads          Class = firstInteractive + maxPriority + 1
	Classes                = int(Uploads) + 1
)

// Reasons for which packets are dropped or refused.
const (
	Repeated flow.Reason = "linkRepeated" // the same packet is still queued
	Full     flow.Reason = "linkFull"     // the queue is full
	Late     flow.Reason = "linkLate"     // the caller has given up
	Busy     flow.Reason = "linkBusy"     // the open uploads cannot be completed in time with another
	Stopped  flow.Reason = "linkStopped"  // the instance has stopped
)

// Action is what happens to a packet that is offered.
type Action uint8

// The actions.
const (
	Pass    Action = iota // it leaves at once
	Queued                // it is queued
	Dropped               // it was dropped and reported
	Refused               // its flow is refused
)

// Offered is the result of an offer.
type Offered struct {
	Action Action
	// Class is the class of a packet that passes.
	Class Class
	// Admission is the decision on the opening packet of an upload if Decided is set. It
	// is not set for a retransmission, for which the earlier decision holds.
	Admission Admission
	Decided   bool
}

// Packet is a queued packet.
type Packet struct {
	Header flow.CookieHeader
	Data   []byte
	Class  Class
	// Arrived is when the packet was offered.
	Arrived time.Duration

	size         int
	received     time.Duration // from then on its caller waits
	start        time.Duration // of an upload's request
	expires      time.Duration // 0: never
	number       uint64        // counts the packets in the order of their arrival
	prev, next   *Packet       // in the flow
	older, newer *Packet       // in the class
}

// Scheduler schedules one link.
type Scheduler struct {
	// OnDrop, if set, is called with each packet that is dropped. It must not keep the
	// packet's data.
	OnDrop func(p *Packet, reason flow.Reason)

	rate   float64 // bytes per second
	limit  int     // of bytes
	config config.Configuration
	active bool // the configuration has uploads

	tokens   float64 // bytes that may leave at once; negative after bytes were sent ahead
	filledAt time.Duration
	// resetTokens are the bytes of resets of refused uploads that may leave at once.
	resetTokens float64

	queue   queue
	uploads uploads
	number  uint64
	offered Packet // a field, since OnDrop makes a local variable escape to the heap

	interactive window // bytes sent, without those of class Uploads
	sent        window // bytes sent
}

// New returns a scheduler for a link of a capacity in bits per second.
func New(linkBitsPerSecond float64) *Scheduler {
	rate := linkBitsPerSecond / 8 * usableShare
	return &Scheduler{
		rate: rate, limit: max(int(rate*queueTime.Seconds()), minQueueBytes), tokens: burstBytes, resetTokens: burstBytes,
	}
}

// Configure sets the routes.
func (s *Scheduler) Configure(now time.Duration, c config.Configuration) {
	s.config, s.active = c, c.HasUploads()
	s.uploads.configure(now, c)
}

// Active reports whether packets must be offered to the scheduler: the configuration
// has uploads, or packets are still queued.
func (s *Scheduler) Active() bool { return s.active || s.queue.packets > 0 }

// Offer hands a received packet to the scheduler. A packet that passes must be sent at
// once; of one that is queued, the scheduler has a copy.
func (s *Scheduler) Offer(now time.Duration, h flow.CookieHeader, packet []byte) Offered {
	p := &s.offered
	*p = Packet{Header: h, Arrived: now, received: now, size: linkSize(packet)}
	route, known := s.config.Route(h.Dest)
	var o Offered
	var u *upload
	if known && route.Kind == config.Upload {
		if h.Start {
			o.Admission, o.Decided = s.uploads.admit(now, h, &route, s.rate, s.interactive.rate(now, interactiveTime))
			if !o.Admission.Admitted {
				o.Action = Refused
				return o
			}
		}
		u = s.uploads.observe(now, h, &route)
	}
	o.Action = s.offer(now, p, &route, known, u, packet)
	o.Class = p.Class
	return o
}

// Resume is Offer for a packet that was received earlier and has left the scheduler since,
// but was not sent. Its admission holds.
func (s *Scheduler) Resume(now, received time.Duration, h flow.CookieHeader, packet []byte) Offered {
	p := &s.offered
	*p = Packet{Header: h, Arrived: now, received: received, size: linkSize(packet)}
	route, known := s.config.Route(h.Dest)
	action := s.offer(now, p, &route, known, s.uploads.flows[h.Key()], packet)
	return Offered{Action: action, Class: p.Class}
}

// linkSize returns the size on the link of a packet to a backend server.
func linkSize(packet []byte) int { return len(packet) + HeaderBytes + encapsulationBytes }

// offer classifies a packet and passes, queues or drops it.
func (s *Scheduler) offer(now time.Duration, p *Packet, route *config.Route, known bool, u *upload, packet []byte) Action {
	h := p.Header
	switch {
	case !h.Data:
		p.Class = Control
		if h.Start {
			p.expires = p.received + openingLife
		}
	case u != nil:
		p.Class, p.start, p.expires = Uploads, u.start, u.start+route.Timeout
	case known && route.Kind == config.Upload: // not tracked
		p.Class, p.start, p.expires = Uploads, p.received, p.received+route.Timeout
	case known:
		p.Class, p.expires = firstInteractive+Class(min(max(route.Priority, 0), maxPriority)), p.received+route.Timeout
	default:
		p.Class = firstInteractive
	}
	s.fill(now)
	if s.queue.packets == 0 && s.tokens >= float64(p.size) {
		s.depart(now, p)
		return Pass
	}
	if p.Class == Uploads && now > p.expires && !h.Finish {
		p.Data = packet
		s.drop(p, Late)
		return Dropped
	}
	if s.queue.contains(h) {
		p.Data = packet
		s.drop(p, Repeated)
		return Dropped
	}
	s.number++
	p.number = s.number
	queued := s.queue.take()
	p.Data = append(queued.Data[:0], packet...)
	*queued = *p
	s.queue.push(queued)
	return s.enforceLimit(queued)
}

// enforceLimit drops packets until the queue is within its limit. It returns what
// happened to the newest packet.
func (s *Scheduler) enforceLimit(newest *Packet) Action {
	action := Queued
	for s.queue.bytes > s.limit {
		victim := s.queue.victim(s.limit)
		if victim == newest {
			action = Dropped
		}
		s.queue.remove(victim)
		s.drop(victim, Full)
		s.Release(victim)
	}
	return action
}

// Pop removes and returns the next packet that may leave within the time ahead, or
// nil. The packet must be passed to Release after use.
func (s *Scheduler) Pop(now, ahead time.Duration) *Packet {
	s.fill(now)
	p := s.first(now)
	if p == nil || s.tokens+s.rate*ahead.Seconds() < float64(p.size) {
		return nil
	}
	s.queue.remove(p)
	s.depart(now, p)
	return p
}

// Flush removes and returns the next packet regardless of the rate, or nil.
func (s *Scheduler) Flush(now time.Duration) *Packet {
	p := s.first(now)
	if p != nil {
		s.queue.remove(p)
		s.depart(now, p)
	}
	return p
}

// first returns the packet that leaves next and drops those before it whose callers
// have given up.
func (s *Scheduler) first(now time.Duration) *Packet {
	for {
		p := s.queue.first()
		if p == nil || p.expires == 0 || now <= p.expires || p.Header.Finish {
			return p
		}
		s.queue.remove(p)
		s.drop(p, Late)
		s.Release(p)
	}
}

// Release returns a packet's memory for reuse.
func (s *Scheduler) Release(p *Packet) { s.queue.release(p) }

// Next returns when the next packet may leave, and false if none is queued.
func (s *Scheduler) Next(now time.Duration) (time.Duration, bool) {
	p := s.first(now)
	if p == nil {
		return 0, false
	}
	s.fill(now)
	missing := max(float64(p.size)-s.tokens, 0)
	return now + time.Duration(missing/s.rate*float64(time.Second)) + 1, true
}

// Spend accounts for bytes that were sent without being queued: the size of a datagram
// without the headers of lower layers.
func (s *Scheduler) Spend(now time.Duration, size int) {
	s.fill(now)
	s.account(now, size+HeaderBytes, Control)
}

// Refund takes back that a packet of a class was sent, right after it has passed or left
// the queue.
func (s *Scheduler) Refund(now time.Duration, c Class, packet []byte) {
	s.fill(now)
	size := linkSize(packet)
	s.tokens = min(s.tokens+float64(size), burstBytes)
	s.sent.add(now, interactiveTime, -float64(size))
	if c != Uploads {
		s.interactive.add(now, interactiveTime, -float64(size))
	}
}

// SpendReset reports whether a reset of a refused upload may be sent, and accounts for it.
// Resets get the minimal share of the rate, like a class: they leave ahead of the queue,
// which would wait for as long as many of them take. The caller of a reset that was not
// sent repeats its opening packet after 200 ms and 600 ms, and is refused then.
func (s *Scheduler) SpendReset(now time.Duration, size int) bool {
	s.fill(now)
	if s.resetTokens < float64(size+HeaderBytes) {
		return false
	}
	s.resetTokens -= float64(size + HeaderBytes)
	s.account(now, size+HeaderBytes, Control)
	return true
}

// account records bytes of a class that are sent, on the link.
func (s *Scheduler) account(now time.Duration, size int, c Class) {
	s.tokens -= float64(size)
	s.queue.credit(size)
	s.sent.add(now, interactiveTime, float64(size))
	if c != Uploads {
		s.interactive.add(now, interactiveTime, float64(size))
	}
}

// depart accounts for a packet that leaves.
func (s *Scheduler) depart(now time.Duration, p *Packet) {
	s.account(now, p.size, p.Class)
	s.queue.charge(p.Class, p.size)
	if p.Class == Uploads {
		s.uploads.depart(p.Header, p.size)
	}
}

func (s *Scheduler) fill(now time.Duration) {
	earned := s.rate * (now - s.filledAt).Seconds()
	s.tokens = min(s.tokens+earned, burstBytes)
	s.resetTokens = min(s.resetTokens+minShare*earned, burstBytes)
	s.filledAt = now
}

func (s *Scheduler) drop(p *Packet, reason flow.Reason) {
	if s.OnDrop != nil {
		s.OnDrop(p, reason)
	}
}

// End records that the flow of a packet was reset.
func (s *Scheduler) End(h flow.CookieHeader) { s.uploads.end(h) }

// Expire removes the state of uploads that are idle.
func (s *Scheduler) Expire(now time.Duration) { s.uploads.expire(now) }

// Bytes returns the bytes that are queued in a class.
func (s *Scheduler) Bytes(c Class) int { return s.queue.classBytes[c] }

// Len returns the number of queued packets.
func (s *Scheduler) Len() int { return s.queue.packets }

// Open returns the number of uploads that are open.
func (s *Scheduler) Open(now time.Duration) int { return s.uploads.open(now) }

// Utilization returns the share of the usable rate that was sent in the last second.
func (s *Scheduler) Utilization(now time.Duration) float64 {
	return s.sent.rate(now, interactiveTime) / s.rate
}
