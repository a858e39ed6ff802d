package flow

import (
	"sync"

	"boragepost/core/model"
)

// flags describe a tracked flow.
type flags uint8

const (
	flagHalfOpen flags = 1 << iota // only a starting packet was seen
	flagFinished                   // a FIN or RST was seen
	flagPinned                     // an exception of a closed bucket
	flagReported                   // the record keeper was told of the flow
	flagUDP
)

// tracked is what an instance remembers of one flow.
type tracked struct {
	server model.ServerID
	seen   uint32 // seconds of the caller's clock
	route  uint16 // low bits of Route.ID
	flags  flags
}

// stripes is the number of independently locked parts of a tracker.
const stripes = 64

// stripe holds the flows of one part of the key space. Half-open flows are kept
// apart in a ring of fixed size, so that a flood of them cannot push out
// established ones.
type stripe struct {
	mu   sync.Mutex
	live map[Key]tracked
	half map[Key]tracked
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

func newTracker(maxLive, maxHalf int) *tracker {
	t := &tracker{maxLive: max(maxLive/stripes, 1), maxHalf: max(maxHalf/stripes, 1)}
	for i := range t.stripes {
		t.stripes[i].live = map[Key]tracked{}
		t.stripes[i].half = map[Key]tracked{}
	}
	return t
}

// stripe returns the part of a key. It uses high bits, because the low ones
// choose the bucket.
func (t *tracker) stripe(k Key) *stripe { return &t.stripes[k>>58] }

// get returns the record of a flow. The stripe must be locked.
func (s *stripe) get(k Key) (tracked, bool) {
	if r, ok := s.live[k]; ok {
		return r, true
	}
	r, ok := s.half[k]
	return r, ok
}

// put stores the record of a flow. The stripe must be locked. It reports false
// when an established flow finds no room.
func (t *tracker) put(s *stripe, k Key, r tracked) bool {
	if r.flags&flagHalfOpen != 0 {
		t.putHalf(s, k, r)
		return true
	}
	delete(s.half, k)
	if _, known := s.live[k]; !known && len(s.live) >= t.maxLive && r.flags&flagPinned == 0 {
		return false
	}
	s.live[k] = r
	return true
}

func (t *tracker) putHalf(s *stripe, k Key, r tracked) {
	if _, known := s.half[k]; known {
		s.half[k] = r
		return
	}
	if len(s.ring) < t.maxHalf {
		s.ring = append(s.ring, k)
	} else {
		delete(s.half, s.ring[s.next])
		s.ring[s.next] = k
		s.next = (s.next + 1) % t.maxHalf
	}
	s.half[k] = r
}

// each calls f for every flow, one stripe at a time.
func (t *tracker) each(f func(Key, tracked)) {
	for i := range t.stripes {
		s := &t.stripes[i]
		s.mu.Lock()
		for k, r := range s.half {
			f(k, r)
		}
		for k, r := range s.live {
			f(k, r)
		}
		s.mu.Unlock()
	}
}

// update replaces every flow by what f returns for it, one stripe at a time.
func (t *tracker) update(f func(Key, tracked) tracked) {
	for i := range t.stripes {
		s := &t.stripes[i]
		s.mu.Lock()
		for _, m := range []map[Key]tracked{s.half, s.live} {
			for k, r := range m {
				if next := f(k, r); next != r {
					m[k] = next
				}
			}
		}
		s.mu.Unlock()
	}
}

// expire drops the flows for which drop returns true, one stripe at a time.
func (t *tracker) expire(drop func(Key, tracked) bool) {
	for i := range t.stripes {
		s := &t.stripes[i]
		s.mu.Lock()
		for k, r := range s.live {
			if drop(k, r) {
				delete(s.live, k)
			}
		}
		for k, r := range s.half {
			if drop(k, r) {
				delete(s.half, k)
			}
		}
		s.mu.Unlock()
	}
}

func (t *tracker) len() (live, half int) {
	for i := range t.stripes {
		s := &t.stripes[i]
		s.mu.Lock()
		live += len(s.live)
		half += len(s.half)
		s.mu.Unlock()
	}
	return live, half
}
