package relay

import (
	"net/netip"
	"slices"
	"time"

	"boragepost/core/flow"
	"boragepost/io/timer"
)

const (
	// holdInterval is how often held packets are decided on again; they are also
	// tried whenever something was learned.
	holdInterval = 100 * time.Millisecond
	// holdTimeout is how long a packet is held. Callers repeat an opening packet
	// up to 600 ms after the first and give up after 1.4 s.
	holdTimeout = 800 * time.Millisecond
	maxHeld     = 512
	// receivePause keeps a socket that fails from taking the whole processor.
	receivePause = 10 * time.Millisecond
)

// heldPacket waits until the instance has learned where it goes.
type heldPacket struct {
	header flow.CookieHeader
	data   []byte
	since  time.Duration
}

// receive forwards packets until the socket is closed.
func (r *Relay) receive() {
	buf := make([]byte, maxPacket)
	for {
		n, _, err := r.conn.ReadFromUDPAddrPort(buf)
		if r.ctx.Err() != nil {
			return
		}
		if err != nil {
			r.counters.receiveErrors.Inc()
			timer.Sleep(r.ctx, receivePause)
			continue
		}
		h, err := r.cfg.PacketFormat.Parse(buf[:n])
		if err != nil {
			r.counters.malformed.Inc()
			continue
		}
		r.mu.Lock()
		r.handle(r.now(), h, buf[:n])
		r.mu.Unlock()
	}
}

// handle decides on one packet and carries the decision out.
func (r *Relay) handle(now time.Duration, h flow.CookieHeader, packet []byte) {
	v := r.balancer.Decide(now, h)
	if v.Action != flow.Hold {
		r.act(h, packet, v)
		return
	}
	// An established flow may be known to an instance that has learned of its
	// backend server a moment before this one.
	mayLearn := !h.Start || r.learning(now)
	if !mayLearn || len(r.held) >= maxHeld {
		r.giveUp(h, packet, v)
		return
	}
	r.counters.held.Inc()
	r.held = append(r.held, heldPacket{header: h, data: slices.Clone(packet), since: now})
}

// learning reports whether something may soon be learned that decides on a
// packet: the links are young.
func (r *Relay) learning(now time.Duration) bool {
	return now-time.Duration(r.upstream.syncedAt.Load()) < learningTime
}

// learningTime is how long after its first complete update an instance may still
// lack backend servers: they announce themselves anew to replicas that have just
// started, about once a second.
const learningTime = 2 * time.Second

func (r *Relay) act(h flow.CookieHeader, packet []byte, v flow.CookieVerdict) {
	if v.Action == flow.Reset {
		r.reset(h, packet, v)
		return
	}
	r.out = r.cfg.PacketFormat.Encapsulate(r.out[:0], packet, v.Server, v.Cookie)
	r.send(r.out, v.Target)
	r.counters.forwarded.Inc()
	switch {
	case h.Start && v.Avoided != 0:
		r.counters.repeated.Inc()
		r.trace.copied(h, v)
	case h.Start:
		r.counters.opened.Inc()
		r.trace.placed(h, v)
	case h.Data:
		r.trace.request(h, v, packet)
	}
}

// giveUp ends the wait of a packet. A new flow is refused, which is true: no
// backend server has seen it. An established one is left to its caller's next
// packet.
func (r *Relay) giveUp(h flow.CookieHeader, packet []byte, v flow.CookieVerdict) {
	if h.Start {
		r.reset(h, packet, v)
		return
	}
	r.counters.dropped.WithLabelValues(string(v.Reason)).Inc()
	r.trace.dropped(h, v, packet)
}

func (r *Relay) reset(h flow.CookieHeader, packet []byte, v flow.CookieVerdict) {
	var to netip.AddrPort
	r.out, to = r.cfg.PacketFormat.Reset(r.out[:0], h)
	r.send(r.out, to)
	r.counters.resets.WithLabelValues(string(v.Reason)).Inc()
	r.trace.reset(h, v, packet)
}

func (r *Relay) send(datagram []byte, to netip.AddrPort) {
	if _, err := r.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		r.counters.sendErrors.Inc()
	}
}

// retryHeld decides again on the packets that were held.
func (r *Relay) retryHeld(now time.Duration) {
	r.held = slices.DeleteFunc(r.held, func(p heldPacket) bool {
		v := r.balancer.Decide(now, p.header)
		switch {
		case v.Action != flow.Hold:
			r.counters.holdSeconds.Observe((now - p.since).Seconds())
			r.act(p.header, p.data, v)
		case now-p.since > holdTimeout:
			r.giveUp(p.header, p.data, v)
		default:
			return false
		}
		return true
	})
}
