package relay

import (
	"net/netip"
	"time"

	"boragepost/core/config"
	"boragepost/core/flow"
	"boragepost/core/sched"
)

// batchTime is how far ahead the sender sends: departures up to this far apart leave
// together, which limits its wake-ups to about 100 a second.
const batchTime = 10 * time.Millisecond

// link schedules the instance's outgoing link while its capacity is limited and the
// configuration has uploads. Relay.mu must be held when its methods are called, except
// where noted.
type link struct {
	r         *Relay
	scheduler *sched.Scheduler // nil if the capacity is not limited
	wake      chan struct{}    // wakes the sender
	idle      bool             // the sender waits for wake
}

func (l *link) init(r *Relay) {
	l.r = r
	if r.cfg.LinkBitsPerSecond <= 0 {
		return
	}
	l.scheduler = sched.New(r.cfg.LinkBitsPerSecond)
	l.scheduler.OnDrop = l.dropped
	l.wake = make(chan struct{}, 1)
}

// active reports whether received packets must pass through the scheduler.
func (l *link) active() bool { return l.scheduler != nil && l.scheduler.Active() }

func (l *link) configure(c config.Configuration) {
	if l.scheduler != nil {
		l.scheduler.Configure(l.r.now(), c)
	}
}

func (l *link) expire(now time.Duration) {
	if l.scheduler != nil {
		l.scheduler.Expire(now)
	}
}

// resetSent accounts for a reset in answer to a packet.
func (l *link) resetSent(h flow.CookieHeader, size int) {
	if l.active() {
		l.scheduler.End(h)
		l.scheduler.Spend(l.r.now(), size)
	}
}

// receive schedules a received packet, and sends what may leave at once.
func (l *link) receive(now time.Duration, h flow.CookieHeader, packet []byte) {
	o := l.scheduler.Offer(now, h, packet)
	if o.Decided && o.Admission.Admitted {
		l.r.counters.uploadsAdmitted.Inc()
	}
	l.proceed(now, h, packet, o)
}

// resume schedules a packet that was held and may be sent now.
func (l *link) resume(now time.Duration, p heldPacket) {
	l.proceed(now, p.header, p.data, l.scheduler.Resume(now, p.since, p.header, p.data))
}

// proceed carries out what the scheduler has decided on a packet.
func (l *link) proceed(now time.Duration, h flow.CookieHeader, packet []byte, o sched.Offered) {
	switch o.Action {
	case sched.Pass:
		l.handle(now, h, packet, o.Class)
		return
	case sched.Refused:
		l.refuse(h, o)
		return
	}
	l.send(now, 0)
	if l.idle && l.scheduler.Len() > 0 {
		l.idle = false
		l.wake <- struct{}{}
	}
}

// refuse resets the flow of an upload's opening packet. The packet is dropped when resets
// have used up their share of the link, or if the flow may be open.
func (l *link) refuse(h flow.CookieHeader, o sched.Offered) {
	var to netip.AddrPort
	l.r.scratch, to = l.r.cfg.PacketFormat.Reset(l.r.scratch[:0], h)
	allowed := !l.r.mayBeOpen(h) && l.scheduler.SpendReset(l.r.now(), len(l.r.scratch))
	if allowed && l.r.send(l.r.scratch, to) {
		l.r.counters.resets.WithLabelValues(string(sched.Busy)).Inc()
	} else {
		l.r.counters.dropped.WithLabelValues(string(sched.Busy)).Inc()
	}
	if o.Decided {
		l.r.counters.uploadsRefused.Inc()
		l.r.flowLog.logRefused(h, o.Admission)
	}
}

// send handles the queued packets that may leave within the time ahead.
func (l *link) send(now, ahead time.Duration) {
	for p := l.scheduler.Pop(now, ahead); p != nil; p = l.scheduler.Pop(now, ahead) {
		l.handleQueued(now, p)
	}
}

// handleQueued routes a packet that leaves the queue.
func (l *link) handleQueued(now time.Duration, p *sched.Packet) {
	l.r.counters.queueSeconds[kindOf(p.Class)].Observe((now - p.Arrived).Seconds())
	l.handle(now, p.Header, p.Data, p.Class)
	l.scheduler.Release(p)
}

// handle routes a packet that the link may carry now. One that is held takes nothing from
// the link until it is released.
func (l *link) handle(now time.Duration, h flow.CookieHeader, packet []byte, c sched.Class) {
	if held := l.r.handle(now, h, packet); held {
		l.scheduler.Refund(now, c, packet)
	}
}

// flush sends the queued packets that are left at the end of the grace period. It
// locks Relay.mu.
func (l *link) flush() {
	if l.scheduler == nil {
		return
	}
	l.r.mu.Lock()
	defer l.r.mu.Unlock()
	now := l.r.now()
	for p := l.scheduler.Flush(now); p != nil; p = l.scheduler.Flush(now) {
		l.handleQueued(now, p)
	}
}

// discard drops the queued packets after the instance has stopped. It locks Relay.mu.
func (l *link) discard() {
	if l.scheduler == nil {
		return
	}
	l.r.mu.Lock()
	defer l.r.mu.Unlock()
	now := l.r.now()
	for p := l.scheduler.Flush(now); p != nil; p = l.scheduler.Flush(now) {
		l.dropped(p, sched.Stopped)
		l.scheduler.Release(p)
	}
}

// startSender starts the goroutine that sends queued packets when they may leave.
func (l *link) startSender() {
	if l.scheduler == nil {
		return
	}
	l.r.stopped.Add(1)
	go func() {
		defer l.r.stopped.Done()
		l.sendQueued()
	}()
}

// sendQueued sends queued packets until the instance stops.
func (l *link) sendQueued() {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-l.r.ctx.Done():
			return
		case <-l.wake:
		case <-t.C:
		}
		l.r.mu.Lock()
		now := l.r.now()
		l.send(now, batchTime)
		next, waiting := l.scheduler.Next(now)
		l.idle = !waiting
		l.r.mu.Unlock()
		if waiting {
			t.Reset(next - now)
		}
	}
}

// dropped records a packet that the scheduler has dropped.
func (l *link) dropped(p *sched.Packet, reason flow.Reason) {
	l.r.counters.dropped.WithLabelValues(string(reason)).Inc()
	l.r.flowLog.logDropped(p.Header, flow.CookieVerdict{Action: flow.Reset, Reason: reason}, p.Data)
}

// linkKind is a group of classes with metrics of its own.
type linkKind int

const (
	kindControl linkKind = iota
	kindInteractive
	kindUploads
	linkKinds
)

func (k linkKind) String() string { return [linkKinds]string{"control", "interactive", "uploads"}[k] }

func kindOf(c sched.Class) linkKind {
	switch c {
	case sched.Control:
		return kindControl
	case sched.Uploads:
		return kindUploads
	default:
		return kindInteractive
	}
}

// queuedBytes returns the bytes that are queued in the classes of a kind.
func (l *link) queuedBytes(k linkKind) (n int) {
	if l.scheduler == nil {
		return 0
	}
	for c := range sched.Classes {
		if kindOf(sched.Class(c)) == k {
			n += l.scheduler.Bytes(sched.Class(c))
		}
	}
	return n
}

// openUploads returns the number of uploads that are open.
func (l *link) openUploads() int {
	if l.scheduler == nil {
		return 0
	}
	return l.scheduler.Open(l.r.now())
}

// utilization returns the share of the usable capacity that was sent in the last second.
func (l *link) utilization() float64 {
	if !l.active() {
		return 0
	}
	return l.scheduler.Utilization(l.r.now())
}
