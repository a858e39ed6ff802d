// Package share chooses the backend server for a request.
//
// Sharing policies are plug-ins: each registers itself in Policies under the
// name that a service's sharing field uses.
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

// Candidate is a backend server as one gateway sees it.
type Candidate struct {
	ID    model.ServerID
	Slots int
	// InFlight is the number of this gateway's requests at the backend server.
	InFlight int
	// Latency is the smoothed time of this gateway's latest answers.
	Latency time.Duration
	// SameZone is set when no link between availability zones is crossed.
	SameZone bool
	// Age is the time since the backend server was announced.
	Age time.Duration
}

// load is the estimated number of requests a slot at the candidate, by the
// gateway's own count. What a backend server reports may lag or mislead.
func (c Candidate) load() float64 {
	slots := float64(max(c.Slots, 1))
	work := float64(c.InFlight)
	if !c.SameZone {
		work += crossZonePenalty
	}
	return work/slots + coldPenalty(c.Age)
}

const (
	// crossZonePenalty is the number of requests by which a backend server in
	// another availability zone counts as busier.
	crossZonePenalty = 0.25
	// warmUp is the time after which a backend server counts as warm.
	warmUp = 5 * time.Second
)

// coldPenalty falls from 1 to 0 during the warm-up.
func coldPenalty(age time.Duration) float64 {
	if age >= warmUp {
		return 0
	}
	return 1 - float64(age)/float64(warmUp)
}

// Policy picks a backend server.
type Policy struct {
	// Pick returns the index of the chosen candidate. There is at least one
	// candidate. intN returns a number in [0, n).
	Pick func(candidates []Candidate, intN func(n int) int) int
}

// DefaultPolicy is the policy of services that name none.
const DefaultPolicy = "twoChoices"

// Policies holds the registered sharing policies.
var Policies = kernel.Registry[Policy]{Kind: "sharing policy"}

func init() {
	Policies.Register("random", Policy{Pick: pickRandom})
	Policies.Register("leastInFlight", Policy{Pick: pickLeast})
	Policies.Register("twoChoices", Policy{Pick: pickTwo})
}

func pickRandom(candidates []Candidate, intN func(int) int) int { return intN(len(candidates)) }

// pickLeast picks the least loaded candidate; ties fall to a random one.
func pickLeast(candidates []Candidate, intN func(int) int) int {
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

// pickTwo picks the less loaded of two random candidates.
func pickTwo(candidates []Candidate, intN func(int) int) int {
	a, b := intN(len(candidates)), intN(len(candidates))
	if candidates[b].load() < candidates[a].load() {
		return b
	}
	return a
}
