package flow

import (
	"sync"
	"time"

	"boragepost/core/model"
)

// flags describe a tracked flow.
type flags uint8

const (
	flagHalfOpen flags = 1 << iota // only an opening packet was seen
	flagFinished                   // a FIN or RST was seen
	flagPinned                     // fetched as a pinned flow; never idles out
	flagReported                   // reported to the shard primary or received from it
	flagUDP
)

// trackedFlow is the tracking entry of one flow. It omits the service, because a
// backend server never changes its service.
type trackedFlow struct {
	server model.ServerID
	seen   coarseTime
	flags  flags
}

// coarseTime is a time in units of two seconds. It wraps around after 36 hours,
// which is longer than any idle timeout.
type coarseTime uint16

const coarseTimeUnit = 2 * time.Second

func toCoarseTime(now int64) coarseTime { return coarseTime(now / int64(coarseTimeUnit)) }

// age returns a lower bound of the time since t, in nanoseconds.
func (t coarseTime) age(now int64) int64 {
	units := toCoarseTime(now) - t
	return max(int64(units)-1, 0) * int64(coarseTimeUnit)
}

// stripes is the number of independently locked parts of a tracker.
const stripes = 64

// stripe holds the flows of one part of the key space. Half-open flows are kept
// apart and bounded by a ring of keys, so that a flood of opening packets cannot
// evict established flows.
type stripe struct {
	mu          sync.Mutex
	established flowMap
	halfOpen    flowMap
	ring        []Key
	ringHead    int      // position of the oldest key once the ring is full
	_           [64]byte // keeps neighbouring locks in different cache lines
}

// tracker holds the flows that passed through one instance.
type tracker struct {
	stripes        [stripes]stripe
	maxEstablished int // per stripe
	maxHalfOpen    int // per stripe
}

func newTracker(maxEstablished, maxHalfOpen int, seed uint64) *tracker {
	t := &tracker{maxEstablished: max(maxEstablished/stripes, 1), maxHalfOpen: max(maxHalfOpen/stripes, 1)}
	for i := range t.stripes {
		t.stripes[i].established.seed = seed
		t.stripes[i].halfOpen.seed = seed
	}
	return t
}

// stripe returns the stripe of a key. It uses the high bits, because the low bits
// select the bucket.
func (t *tracker) stripe(k Key) *stripe { return &t.stripes[k>>58] }

// get returns the entry of a flow. The stripe must be locked.
func (s *stripe) get(k Key) (trackedFlow, bool) {
	if r, ok := s.established.get(k); ok {
		return r, true
	}
	return s.halfOpen.get(k)
}

// put stores the entry of a flow. The stripe must be locked. It returns false if
// the flow is new and established and the stripe is full.
func (t *tracker) put(s *stripe, k Key, r trackedFlow) bool {
	if r.flags&flagHalfOpen != 0 {
		t.putHalfOpen(s, k, r)
		return true
	}
	s.halfOpen.remove(k)
	if s.established.used >= t.maxEstablished && r.flags&flagPinned == 0 {
		if _, exists := s.established.get(k); !exists {
			return false
		}
	}
	s.established.set(k, r)
	return true
}

func (t *tracker) putHalfOpen(s *stripe, k Key, r trackedFlow) {
	if _, exists := s.halfOpen.get(k); exists {
		s.halfOpen.set(k, r)
		return
	}
	if len(s.ring) < t.maxHalfOpen {
		s.ring = append(s.ring, k)
	} else {
		s.halfOpen.remove(s.ring[s.ringHead])
		s.ring[s.ringHead] = k
		s.ringHead = (s.ringHead + 1) % t.maxHalfOpen
	}
	s.halfOpen.set(k, r)
}

// update replaces every entry by the result of f, or removes it if f returns
// false. It locks one stripe at a time.
func (t *tracker) update(f func(Key, trackedFlow) (trackedFlow, bool)) {
	for i := range t.stripes {
		s := &t.stripes[i]
		s.mu.Lock()
		s.halfOpen.update(f)
		s.established.update(f)
		s.mu.Unlock()
	}
}

// forEach calls f for every flow. It locks one stripe at a time.
func (t *tracker) forEach(f func(Key, trackedFlow)) {
	t.update(func(k Key, r trackedFlow) (trackedFlow, bool) {
		f(k, r)
		return r, true
	})
}

func (t *tracker) len() (established, halfOpen int) {
	for i := range t.stripes {
		s := &t.stripes[i]
		s.mu.Lock()
		established += s.established.used
		halfOpen += s.halfOpen.used
		s.mu.Unlock()
	}
	return established, halfOpen
}
