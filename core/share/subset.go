package share

import (
	"slices"

	"boragepost/core/model"
	"boragepost/core/place"
)

// Class is the class of a request. Long requests go to a subset of the backend
// servers (LongSubset), so that short requests need not wait behind them.
type Class uint8

// The classes of requests.
const (
	Short Class = iota
	Long
)

// BusyTime measures how the time that the backend servers of a service spend on
// requests is divided between the classes. The zero value is empty.
type BusyTime struct {
	busy [2]float64 // sum in seconds, decaying
}

const (
	// busyTimeDecay is the factor by which the old sums are multiplied when a
	// request of one second or more is added.
	busyTimeDecay = 0.99
	// subsetHeadroom is the factor by which the fraction of the backend servers in
	// the long subset exceeds the measured fraction of the busy time that long
	// requests take.
	subsetHeadroom = 1.5
	// maxLongSubset is the largest fraction of the backend servers in the long
	// subset.
	maxLongSubset = 0.5
)

// Add adds the duration of a finished request, in seconds.
func (t *BusyTime) Add(c Class, seconds float64) {
	decay := 1 - (1-busyTimeDecay)*min(seconds, 1)
	t.busy[Short] *= decay
	t.busy[Long] *= decay
	t.busy[c] += seconds
}

// LongFraction returns the fraction of the busy time that long requests take.
func (t *BusyTime) LongFraction() float64 {
	total := t.busy[Short] + t.busy[Long]
	if total == 0 {
		return 0
	}
	return t.busy[Long] / total
}

// LongSubset returns the backend servers that serve the long requests of a service.
// longFraction is the fraction of the busy time that long requests take. All
// gateways sort the backend servers by the same hash, so without any messages
// their subsets differ at most in the last member.
func LongSubset(service string, servers []model.BackendServer, longFraction float64) map[model.ServerID]bool {
	n := int(longFraction*subsetHeadroom*float64(len(servers)) + 0.5)
	n = min(max(n, 1), max(int(maxLongSubset*float64(len(servers))), 1))
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
	subset := make(map[model.ServerID]bool, n)
	for _, b := range order[:min(n, len(order))] {
		subset[b.ID] = true
	}
	return subset
}
