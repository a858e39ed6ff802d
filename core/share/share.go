// Package share holds the load-balancing policies, which choose the backend server
// for a request.
//
// The policies are plug-ins: each registers itself in Policies under the name by
// which a service's sharing field refers to it.
//
// # Usage
//
//	policy, err := share.Policies.Find("leastInFlight")
//	i := policy.Pick(candidates, rand.IntN)
package share

import (
	"time"

	"boragepost/core/kernel"
	"boragepost/core/model"
)

// Candidate is a backend server with the load that one gateway has measured.
type Candidate struct {
	ID    model.ServerID
	Slots int
	// InFlight is the number of this gateway's requests at the backend server.
	InFlight int
	// Latency is the smoothed response time of this gateway's latest requests.
	Latency time.Duration
	// SameZone is set when the gateway is in the backend server's availability zone.
	SameZone bool
	// Age is the time since the backend server was announced.
	Age time.Duration
}

// load estimates the number of requests per slot at the candidate. It uses the
// gateway's own count, because reports of backend servers may be late or wrong.
func (c Candidate) load() float64 {
	slots := float64(max(c.Slots, 1))
	requests := float64(c.InFlight)
	if !c.SameZone {
		requests += crossZonePenalty
	}
	return requests/slots + warmupPenalty(c.Age)
}

const (
	// crossZonePenalty is the number of requests that is added to the load of a
	// backend server in another availability zone.
	crossZonePenalty = 0.25
	// warmupTime is the time after its announcement for which a backend server
	// counts as warming up.
	warmupTime = 5 * time.Second
)

// warmupPenalty returns the number of requests per slot that is added to the load
// of a backend server of the given age. It falls from 1 to 0 during the warm-up.
func warmupPenalty(age time.Duration) float64 {
	if age >= warmupTime {
		return 0
	}
	return 1 - float64(age)/float64(warmupTime)
}

// Policy is a load-balancing policy.
type Policy struct {
	// Pick returns the index of the chosen candidate. There is at least one
	// candidate. intN returns a number in [0, n).
	Pick func(candidates []Candidate, intN func(n int) int) int
}

// DefaultPolicy is the policy of services that name none.
const DefaultPolicy = "twoChoices"

// Policies holds the registered load-balancing policies.
var Policies = kernel.Registry[Policy]{Kind: "sharing policy"}

func init() {
	Policies.Register("random", Policy{Pick: pickRandom})
	Policies.Register("leastInFlight", Policy{Pick: pickLeastLoaded})
	Policies.Register("twoChoices", Policy{Pick: pickTwoChoices})
}

func pickRandom(candidates []Candidate, intN func(int) int) int { return intN(len(candidates)) }

// pickLeastLoaded picks the least loaded candidate, or a random one of several.
func pickLeastLoaded(candidates []Candidate, intN func(int) int) int {
	best, ties := 0, 1
	for i := 1; i < len(candidates); i++ {
		a, b := candidates[i].load(), candidates[best].load()
		switch {
		case a < b:
			best, ties = i, 1
		case a == b:
			ties++
			if intN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// pickTwoChoices picks the less loaded of two random candidates (power of two
// choices).
func pickTwoChoices(candidates []Candidate, intN func(int) int) int {
	a, b := intN(len(candidates)), intN(len(candidates))
	if candidates[b].load() < candidates[a].load() {
		return b
	}
	return a
}
