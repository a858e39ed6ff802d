package relay

import (
	"net/netip"
	"slices"
	"time"

	"boragepost/core/flow"
	"boragepost/io/timer"
)

const (
	// retryInterval is how often routing of held packets is retried. It is also
	// retried after every update from upstream.
	retryInterval = 100 * time.Millisecond
	// holdTimeout bounds how long a packet is held. Callers retransmit an opening
	// packet up to 600 ms after the first and give up after 1.4 s.
	holdTimeout    = 800 * time.Millisecond
	maxHeldPackets = 512
	// receiveErrorDelay keeps the receive loop from spinning on a failing socket.
	receiveErrorDelay = 10 * time.Millisecond
)

// stopped is the reason for which packets are dropped that are held when the instance stops.
const stopped flow.Reason = "stopped"

// heldPacket is a packet that cannot be routed yet.
type heldPacket struct {
	header flow.CookieHeader
	data   []byte
	since  time.Duration
}

// receive handles packets until the instance stops.
func (r *Relay) receive() {
	buf := make([]byte, maxPacketBytes)
	for {
		n, _, err := r.conn.ReadFromUDPAddrPort(buf)
		if r.ctx.Err() != nil {
			return
		}
		if err != nil {
			r.counters.receiveErrors.Inc()
			timer.Sleep(r.ctx, receiveErrorDelay)
			continue
		}
		h, err := r.cfg.PacketFormat.Parse(buf[:n])
		if err != nil {
			r.counters.malformed.Inc()
			continue
		}
		h.Bytes = n
		r.mu.Lock()
		now := r.now()
		if r.mayBeOpen(h) {
			h.Retransmit = true
		}
		if r.link.active() {
			r.link.receive(now, h, buf[:n])
		} else {
			r.handle(now, h, buf[:n])
		}
		r.mu.Unlock()
	}
}

// handle routes one packet: it is forwarded, answered with a reset, held or
// dropped. It reports whether the packet is held. r.mu must be held.
func (r *Relay) handle(now time.Duration, h flow.CookieHeader, packet []byte) (held bool) {
	v := r.decide(now, h)
	if v.Action != flow.Hold {
		r.applyVerdict(h, packet, v)
		return false
	}
	// Another instance may have placed the flow on a backend server that this
	// instance does not know yet.
	retryable := !h.Start || r.syncing(now) || v.Reason == resuming
	if !retryable || len(r.held) >= maxHeldPackets {
		r.reject(h, packet, v)
		return false
	}
	r.counters.held.Inc()
	r.held = append(r.held, heldPacket{header: h, data: slices.Clone(packet), since: now})
	return true
}

// decide returns the verdict on a packet. An opening packet is held while the instance
// catches up after a pause, and is dropped rather than reset if its flow may be open. r.mu
// must be held.
func (r *Relay) decide(now time.Duration, h flow.CookieHeader) flow.CookieVerdict {
	if !h.Start {
		return r.balancer.Decide(now, h)
	}
	mayBeOpen := r.mayBeOpen(h)
	if r.catchingUp() {
		return flow.CookieVerdict{Action: flow.Hold, Reason: resuming}
	}
	// Callers handle several packets with one reading of the clock. The process may have
	// been paused since, and a grant for a cold backend server may have ended.
	v := r.balancer.Decide(r.now(), h)
	if v.Action == flow.Reset && mayBeOpen {
		v.Action = flow.Drop
	}
	return v
}

// holdReason returns the reason for which decide would hold a packet, or "". r.mu must be
// held.
func (r *Relay) holdReason(h flow.CookieHeader) flow.Reason {
	if h.Start {
		r.detectPause()
		if r.catchingUp() {
			return resuming
		}
	}
	return r.balancer.HoldReason(h)
}

// syncing reports whether the instance may still lack backend servers because it
// received its first configuration only recently or has none.
func (r *Relay) syncing(now time.Duration) bool {
	return now-time.Duration(r.upstream.syncedAt.Load()) < syncTime
}

// syncTime is how long after its first configuration an instance may still lack
// backend servers. They announce themselves about once a second, so replicas that have
// just started do not know all of them yet.
const syncTime = 2 * time.Second

func (r *Relay) applyVerdict(h flow.CookieHeader, packet []byte, v flow.CookieVerdict) {
	switch v.Action {
	case flow.Reset:
		r.reset(h, packet, v)
		return
	case flow.Drop:
		r.drop(h, packet, v)
		return
	}
	r.scratch = r.cfg.PacketFormat.Encapsulate(r.scratch[:0], packet, v.Server, v.Cookie)
	if !r.send(r.scratch, v.Target) {
		return
	}
	r.counters.forwarded.Inc()
	if v.Cold {
		r.balancer.RecordSent(r.now(), v)
		r.counters.coldOpenings.Inc()
	}
	switch {
	case h.Start && v.Avoided != 0:
		r.counters.retransmitted.Inc()
		r.flowLog.logRetransmission(h, v)
	case h.Start:
		r.counters.placed.Inc()
		r.flowLog.logPlaced(h, v)
	case h.Data:
		r.flowLog.logRequest(h, v, packet)
	}
}

// reject ends the handling of a packet that cannot be routed. A new flow is
// reset, which is safe because no backend server has seen it. A retransmitted opening
// packet, or one that may have waited during a pause, is dropped: a backend server may have
// accepted an earlier transmission, and the flow may be open. A packet of an established
// flow, or one that was held after a pause, is dropped as well: the caller's next packet
// may succeed.
func (r *Relay) reject(h flow.CookieHeader, packet []byte, v flow.CookieVerdict) {
	if h.Start && !h.Retransmit && v.Reason != resuming && !r.mayBeOpen(h) {
		r.reset(h, packet, v)
		return
	}
	r.drop(h, packet, v)
}

func (r *Relay) drop(h flow.CookieHeader, packet []byte, v flow.CookieVerdict) {
	r.counters.dropped.WithLabelValues(string(v.Reason)).Inc()
	r.flowLog.logDropped(h, v, packet)
}

func (r *Relay) reset(h flow.CookieHeader, packet []byte, v flow.CookieVerdict) {
	var to netip.AddrPort
	r.scratch, to = r.cfg.PacketFormat.Reset(r.scratch[:0], h)
	if !r.send(r.scratch, to) {
		return
	}
	r.link.resetSent(h, len(r.scratch))
	r.counters.resets.WithLabelValues(string(v.Reason)).Inc()
	r.flowLog.logReset(h, v, packet)
	if v.Reason == flow.ServersCold {
		r.counters.coldRejected.Inc()
		r.flowLog.logColdLimited(r.now(), h)
	}
}

// send sends a datagram, and reports whether the socket has accepted it.
func (r *Relay) send(datagram []byte, to netip.AddrPort) bool {
	_, err := r.conn.WriteToUDPAddrPort(datagram, to)
	if err != nil {
		r.counters.sendErrors.Inc()
	}
	return err == nil
}

// retryHeld routes the held packets that can be routed now, and rejects those that were
// held for too long. Where the link is limited, a packet leaves when the link may carry it,
// and the decision on it is made then.
func (r *Relay) retryHeld(now time.Duration) {
	held := r.held
	r.held = nil // packets that leave the queue meanwhile may be held
	for _, p := range held {
		reason := r.holdReason(p.header)
		switch {
		case reason != "" && now-p.since > holdTimeout:
			r.reject(p.header, p.data, flow.CookieVerdict{Action: flow.Hold, Reason: reason})
		case reason != "":
			r.held = append(r.held, p)
		default:
			r.counters.holdSeconds.Observe((now - p.since).Seconds())
			if r.link.active() {
				r.link.resume(now, p)
			} else {
				r.handle(now, p.header, p.data)
			}
		}
	}
}

// discardHeld drops the held packets after the instance has stopped.
func (r *Relay) discardHeld() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.held {
		r.drop(p.header, p.data, flow.CookieVerdict{Action: flow.Drop, Reason: stopped})
	}
	r.held = nil
}
