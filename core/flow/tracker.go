package flow

import (
	"sync"
	"time"

	"boragepost/core/model"
)

// flags describe a tracked flow.
type flags uint8

const (
	flagHalfOpen flags = 1 << iota // only a starting packet was seen
	flagFinished                   // a FIN or RST was seen
	flagPinned                     // an exception of a closed bucket
	flagReported                   // the record keeper knows the flow
	flagUDP
)

// tracked is what an instance remembers of one flow. The service follows from the
// backend server, which belongs to one service for ever.
type tracked struct {
	server model.ServerID
	seen   moment
	flags  flags
}

// moment is a time in units of two seconds, which wraps around after 36 hours,
// longer than any idle timeout.
type moment uint16

const momentUnit = 2 * time.Second

func momentOf(now int64) moment { return moment(now / int64(momentUnit)) }

// age returns a time that has passed at least since m, in nanoseconds.
func (m moment) age(now int64) int64 {
	units := momentOf(now) - m
	return max(int64(units)-1, 0) * int64(momentUnit)
}

// stripes is the number of independently locked parts of a tracker.
const stripes = 64

// stripe holds the flows of one part of the key space. Half-open flows are kept
// apart in a ring of fixed size, so that a flood of them cannot push out
// established ones.
type stripe struct {
	mu   sync.Mutex
	live flowMap
	half flowMap
	ring []Key
	next int
	_    [64]byte // keeps neighbouring locks in different cache lines
}

// tracker remembers the flows that passed through one instance.
type tracker struct {
	stripes [stripes]stripe
	maxLive int // per stripe
	maxHalf int // per stripe
}

func newTracker(maxLive, maxHalf int, seed uint64) *tracker {
	t := &tracker{maxLive: max(maxLive/stripes, 1), maxHalf: max(maxHalf/stripes, 1)}
	for i := range t.stripes {
		t.stripes[i].live.seed = seed
		t.stripes[i].half.seed = seed
	}
	return t
}

// stripe returns the part of a key. It uses high bits, because the low ones
// choose the bucket.
func (t *tracker) stripe(k Key) *stripe { return &t.stripes[k>>58] }

// get returns the record of a flow. The stripe must be locked.
func (s *stripe) get(k Key) (tracked, bool) {
	if r, ok := s.live.get(k); ok {
		return r, true
	}
	return s.half.get(k)
}

// put stores the record of a flow. The stripe must be locked. It reports false
// when an established flow finds no room.
func (t *tracker) put(s *stripe, k Key, r tracked) bool {
	if r.flags&flagHalfOpen != 0 {
		t.putHalf(s, k, r)
		return true
	}
	s.half.remove(k)
	if s.live.used >= t.maxLive && r.flags&flagPinned == 0 {
		if _, known := s.live.get(k); !known {
			return false
		}
	}
	s.live.set(k, r)
	return true
}

func (t *tracker) putHalf(s *stripe, k Key, r tracked) {
	if _, known := s.half.get(k); known {
		s.half.set(k, r)
		return
	}
	if len(s.ring) < t.maxHalf {
		s.ring = append(s.ring, k)
	} else {
		s.half.remove(s.ring[s.next])
		s.ring[s.next] = k
		s.next = (s.next + 1) % t.maxHalf
	}
	s.half.set(k, r)
}

// update replaces every flow by what f returns for it, one stripe at a time;
// false forgets the flow.
func (t *tracker) update(f func(Key, tracked) (tracked, bool)) {
	for i := range t.stripes {
		s := &t.stripes[i]
		s.mu.Lock()
		s.half.update(f)
		s.live.update(f)
		s.mu.Unlock()
	}
}

// each calls f for every flow, one stripe at a time.
func (t *tracker) each(f func(Key, tracked)) {
	t.update(func(k Key, r tracked) (tracked, bool) {
		f(k, r)
		return r, true
	})
}

func (t *tracker) len() (live, half int) {
	for i := range t.stripes {
		s := &t.stripes[i]
		s.mu.Lock()
		live += s.live.used
		half += s.half.used
		s.mu.Unlock()
	}
	return live, half
}
