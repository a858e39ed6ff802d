package cold

import (
	"maps"
	"slices"
	"time"
)

// window is the time in which an instance sends a backend server no more opening packets
// than the limit for one second. Jitter of the network and of queues can bring packets
// together by the difference, 250 ms.
const window = 1250 * time.Millisecond

// Limiter holds the grants of one instance, and counts the opening packets that it sends
// to cold backend servers. The zero value holds no grants.
type Limiter struct {
	grants map[uint64]held            // by backend server
	sent   map[uint64][]time.Duration // by backend server, within the window
}

// held is a grant as its instance holds it.
type held struct {
	incarnation uint64
	end         time.Duration
}

// Accept adds a grant for this instance. A further grant for the same incarnation
// extends the earlier one.
func (l *Limiter) Accept(now time.Duration, g Grant) {
	if l.grants == nil {
		l.grants = map[uint64]held{}
	}
	next := held{incarnation: g.Incarnation, end: now + g.Remaining}
	if old, ok := l.grants[g.Server]; ok {
		switch {
		case old.incarnation > g.Incarnation:
			return
		case old.incarnation == g.Incarnation:
			next.end = max(next.end, old.end)
		}
	}
	l.grants[g.Server] = next
}

// Void drops the grants for the backend servers that match. What was sent to them still
// counts.
func (l *Limiter) Void(match func(id uint64) bool) {
	maps.DeleteFunc(l.grants, func(id uint64, _ held) bool { return match(id) })
}

// Allows reports whether one more opening packet may be sent to a cold backend server.
func (l *Limiter) Allows(now time.Duration, id, incarnation uint64, limit int) bool {
	g, ok := l.grants[id]
	return ok && g.incarnation == incarnation && now < g.end && l.inWindow(now, id) < limit
}

// inWindow returns the number of opening packets that were sent to a backend server
// within the window.
func (l *Limiter) inWindow(now time.Duration, id uint64) int {
	sent := l.sent[id]
	i := len(sent)
	for i > 0 && now-sent[i-1] < window {
		i--
	}
	return len(sent) - i
}

// Record records that an opening packet is sent to a backend server.
func (l *Limiter) Record(now time.Duration, id uint64) {
	if l.sent == nil {
		l.sent = map[uint64][]time.Duration{}
	}
	recent := l.sent[id][len(l.sent[id])-l.inWindow(now, id):]
	l.sent[id] = append(slices.Clone(recent), now)
}

// Delay records that the packet of the latest Record for a backend server has left only
// now, because the process was paused.
func (l *Limiter) Delay(now time.Duration, id uint64) {
	if sent := l.sent[id]; len(sent) > 0 {
		sent[len(sent)-1] = max(sent[len(sent)-1], now)
	}
}

// Held returns the number of grants that have not ended.
func (l *Limiter) Held(now time.Duration) int {
	n := 0
	for _, g := range l.grants {
		if now < g.end {
			n++
		}
	}
	return n
}

// Expire drops what no longer has an effect.
func (l *Limiter) Expire(now time.Duration) {
	maps.DeleteFunc(l.grants, func(_ uint64, g held) bool { return now >= g.end })
	maps.DeleteFunc(l.sent, func(id uint64, _ []time.Duration) bool { return l.inWindow(now, id) == 0 })
}
