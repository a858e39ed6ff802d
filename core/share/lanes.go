package share

import (
	"slices"

	"boragepost/core/model"
	"boragepost/core/place"
)

// Class tells short work from long work.
type Class uint8

// The classes of work.
const (
	Short Class = iota
	Long
)

// BusyTime measures how the busy time of a service divides between the classes. The
// zero value has seen nothing.
type BusyTime struct {
	busy [2]float64 // seconds, with old ones fading
}

const (
	// workMemory is the share of the old sum that stays when a request of one
	// second is added.
	workMemory = 0.99
	// laneHeadroom widens the long lane beyond the measured share.
	laneHeadroom = 1.5
	// maxLongLane is the largest share of backend servers in the long lane.
	maxLongLane = 0.5
)

// Add counts the busy time of a finished request, in seconds.
func (w *BusyTime) Add(c Class, seconds float64) {
	fade := 1 - (1-workMemory)*min(seconds, 1)
	w.busy[Short] *= fade
	w.busy[Long] *= fade
	w.busy[c] += seconds
}

// LongFraction returns the share of long work in the busy time.
func (w *BusyTime) LongFraction() float64 {
	total := w.busy[Short] + w.busy[Long]
	if total == 0 {
		return 0
	}
	return w.busy[Long] / total
}

// LongSubset returns the backend servers that take the long work of a service. All
// gateways order the backend servers alike without talking, so they agree on the
// lane but for its last member. slots is the number of slots that long work keeps
// busy, as a share of all.
func LongSubset(service string, servers []model.BackendServer, share float64) map[model.ServerID]bool {
	n := int(share*laneHeadroom*float64(len(servers)) + 0.5)
	n = min(max(n, 1), max(int(maxLongLane*float64(len(servers))), 1))
	order := slices.Clone(servers)
	salt := place.Hash(service)
	slices.SortFunc(order, func(a, b model.BackendServer) int {
		x, y := place.Mix(salt, uint64(a.ID)), place.Mix(salt, uint64(b.ID))
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		default:
			return int(a.ID) - int(b.ID)
		}
	})
	lane := make(map[model.ServerID]bool, n)
	for _, b := range order[:min(n, len(order))] {
		lane[b.ID] = true
	}
	return lane
}
