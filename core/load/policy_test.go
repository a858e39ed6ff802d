package load_test

import (
	"flag"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var update = flag.Bool("update", false, "write the golden files")

// scene is a load that is played against several ways of placing requests.
type scene struct {
	name string
	// instances and servers are the numbers in each availability zone.
	instances, servers []int
	slots              int
	perSecond          float64
	// surge is the number of requests that arrive together one second after the
	// start, as after an outage.
	surge int
	// slowed backend servers, the first ones, take slowdown times as long; dead
	// ones, the next, answer nothing.
	slowed, dead int
	slowdown     float64
	// failing backend servers, the last ones, answer errorShare of the requests with
	// an error, which takes no time.
	failing    int
	errorShare float64
	// hangs makes them answer nothing instead.
	hangs bool
}

// The work of a request, and what surrounds a backend server.
const (
	meanWork  = 29 * time.Millisecond
	tailShare = 0.03 // of the requests take tailTimes as long
	tailTimes = 7
	queue     = 8 // requests that wait at a backend server; more are turned away
	trip      = time.Millisecond
	crossTrip = 5 * time.Millisecond // more, between availability zones
	copyAfter = 200 * time.Millisecond
	objective = 250 * time.Millisecond
	sceneTime = 20 * time.Second

	// Sizes of answers have a log-normal distribution.
	medianBytes = 3200
	sizeSpread  = 0.55
	errorBytes  = 220
	// deadline is when a caller gives up a request.
	deadline = 2500 * time.Millisecond
)

var scenes = []scene{
	{name: "quiet", instances: []int{2, 2, 2}, servers: []int{5, 5, 4}, slots: 2, perSecond: 330},
	{name: "crest", instances: []int{2, 2, 2}, servers: []int{5, 5, 4}, slots: 2, perSecond: 640},
	{name: "afterOutage", instances: []int{2, 2, 2}, servers: []int{5, 5, 4}, slots: 2, perSecond: 330, surge: 300},
	{name: "zoneShort", instances: []int{2, 2, 2}, servers: []int{1, 6, 7}, slots: 2, perSecond: 500},
	{name: "oneSlow", instances: []int{2, 2, 2}, servers: []int{5, 5, 4}, slots: 2, perSecond: 400, slowed: 1, slowdown: 6},
	{name: "oneDead", instances: []int{2, 2, 2}, servers: []int{5, 5, 4}, slots: 2, perSecond: 400, dead: 1},
	{name: "fleet", instances: []int{24, 23, 24}, servers: []int{40, 40, 40}, slots: 2, perSecond: 2600},
	{name: "fleetOneSlow", instances: []int{24, 23, 24}, servers: []int{40, 40, 40}, slots: 2, perSecond: 1500, slowed: 3, slowdown: 6},
	{name: "oneFails", instances: []int{2, 2, 2}, servers: []int{5, 5, 4}, slots: 2, perSecond: 400, failing: 1, errorShare: 1},
	{name: "oneGrey", instances: []int{2, 2, 2}, servers: []int{5, 5, 4}, slots: 2, perSecond: 400, failing: 1, errorShare: 0.5},
	{name: "allGrey", instances: []int{2, 2, 2}, servers: []int{5, 5, 4}, slots: 2, perSecond: 400, failing: 14, errorShare: 0.3},
	{name: "fleetFails", instances: []int{24, 23, 24}, servers: []int{40, 40, 40}, slots: 2, perSecond: 1600, failing: 18, errorShare: 1},
	{name: "fleetHangs", instances: []int{24, 23, 24}, servers: []int{40, 40, 40}, slots: 2, perSecond: 1600, failing: 18, errorShare: 1, hangs: true},
}

// policy places a request that arrives at an instance. It returns the index of a
// backend server other than avoid, unless there is none; avoid is -1 or one that has
// not answered.
type policy struct {
	name string
	pick func(p *play, instance int, key uint64, avoid int) int
	// shared makes the instances tell shared outlier detection of short answers.
	shared bool
}

var policies = []policy{
	{name: "random", pick: func(p *play, _ int, _ uint64, avoid int) int {
		return p.choice.IntN(len(p.servers))
	}},
	{name: "randomInZone", pick: func(p *play, instance int, _ uint64, avoid int) int {
		return p.inZone(p.zones[instance])
	}},
	{name: "twoChoices", pick: func(p *play, instance int, _ uint64, avoid int) int {
		zone := p.zones[instance]
		a, b := p.inZone(zone), p.inZone(zone)
		if p.trackers[instance].InFlight(uint64(b+1)) < p.trackers[instance].InFlight(uint64(a+1)) {
			return b
		}
		return a
	}},
	{name: "tracker", pick: pickByTracker},
	{name: "shared", pick: pickByTracker, shared: true},
	// What an instance could do that knew what all others have in flight.
	{name: "allKnowing", pick: func(p *play, instance int, _ uint64, avoid int) int {
		best, bestCost := 0, math.Inf(1)
		for i, s := range p.servers {
			cost := float64(s.placed) * s.slowdown
			if s.dead || i == avoid {
				cost += 1000
			}
			cost += 100 * s.errorShare
			if s.zone != p.zones[instance] {
				cost += 0.5
			}
			if cost < bestCost {
				best, bestCost = i, cost
			}
		}
		return best
	}},
}

func pickByTracker(p *play, instance int, key uint64, avoid int) int {
	return p.trackers[instance].Pick(p.now, zoneName(p.zones[instance]), p.candidates, key, uint64(avoid+1))
}

func zoneName(zone int) string { return string(rune('a' + zone)) }

// TestPolicies plays each load against each way of placing, with the same requests at
// the same times, and compares what callers get. What is in use must serve callers
// better than the simple ways wherever those differ from one that knows everything.
func TestPolicies(t *testing.T) { comparePolicies(t, "policies", scenes) }

// TestPoliciesUnderOverload plays a load of about 1.25 times what the backend servers can
// do.
func TestPoliciesUnderOverload(t *testing.T) {
	comparePolicies(t, "overload", []scene{
		{name: "overload", instances: []int{2, 2, 2}, servers: []int{5, 5, 4}, slots: 2, perSecond: 1200},
	})
}

func comparePolicies(t *testing.T, golden string, scenes []scene) {
	g := NewWithT(t)
	var table strings.Builder
	fmt.Fprintf(&table, "%-13s %-13s %7s %6s %6s %6s %6s %9s %9s\n",
		"load", "policy", "timely", "late", "away", "failed", "lost", "p50 ms", "p99 ms")
	shares := map[string]map[string]float64{}
	for _, s := range scenes {
		shares[s.name] = map[string]float64{}
		for _, p := range policies {
			o := newPlay(s, p).run()
			shares[s.name][p.name] = o.share()
			fmt.Fprintf(&table, "%-13s %-13s %7.4f %6d %6d %6d %6d %9.1f %9.1f\n", s.name, p.name, o.share(), o.late, o.turnedAway,
				o.failed, o.lost, o.percentile(.5).Seconds()*1000, o.percentile(.99).Seconds()*1000)
		}
	}
	path := filepath.Join("testdata", golden+".golden")
	if *update {
		g.Expect(os.WriteFile(path, []byte(table.String()), 0o644)).To(Succeed())
	}
	for name, of := range shares {
		for _, simple := range []string{"random", "randomInZone", "twoChoices", "tracker"} {
			g.Expect(of["shared"]).To(BeNumerically(">=", of[simple]-sameShare), "%s: %s", name, simple)
		}
	}
	want, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(table.String()).To(Equal(string(want)))
}

// sameShare is a difference of shares that says nothing: a request in a thousand.
const sameShare = 0.001
