package load_test

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"boragepost/core/load"
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
		if p.trackers[instance].Busy(uint64(b+1)) < p.trackers[instance].Busy(uint64(a+1)) {
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

// simServer is a backend server with a first-in-first-out queue.
type simServer struct {
	zone, running int
	placed        int // requests that were sent there and not yet answered
	waiting       []*simRequest
	slowdown      float64
	dead          bool
	errorShare    float64
}

type simRequest struct {
	key        uint64
	instance   int
	server     int
	sent       time.Duration
	work       time.Duration
	unanswered bool    // no backend server has accepted it
	bytes      uint32  // of the answer
	luck       float64 // below a backend server's share of errors it fails
	failed     bool    // it was answered with an error
}

// outcome counts what callers got.
type sceneOutcome struct {
	timely, late, turnedAway, failed, lost int
	took                                   []time.Duration
}

// play is one scene with one policy.
type play struct {
	scene      scene
	policy     policy
	random     *rand.Rand // of the load, the same for each policy
	choice     *rand.Rand // of the policy
	now        time.Duration
	trackers   []*load.Tracker
	zones      []int // of the instances
	servers    []*simServer
	byZone     [][]int
	candidates []load.Candidate
	events     simEvents
	scheduled  int
	outcome    sceneOutcome
}

func newPlay(s scene, p policy) *play {
	pl := &play{scene: s, policy: p, random: rand.New(rand.NewPCG(1, 2)), choice: rand.New(rand.NewPCG(3, 4))}
	for zone, n := range s.instances {
		for range n {
			pl.zones = append(pl.zones, zone)
			pl.trackers = append(pl.trackers, &load.Tracker{})
		}
	}
	for zone, n := range s.servers {
		pl.byZone = append(pl.byZone, nil)
		for range n {
			i := len(pl.servers)
			sv := &simServer{zone: zone, slowdown: 1}
			if i < s.slowed {
				sv.slowdown = s.slowdown
			}
			sv.dead = i >= s.slowed && i < s.slowed+s.dead
			pl.servers = append(pl.servers, sv)
			pl.byZone[zone] = append(pl.byZone[zone], i)
			pl.candidates = append(pl.candidates, load.Candidate{ID: uint64(i + 1), Zone: zoneName(zone), Slots: s.slots})
		}
	}
	for _, sv := range pl.servers[len(pl.servers)-s.failing:] {
		sv.errorShare = s.errorShare
	}
	// The failing ones are spread over the zones.
	pl.random.Shuffle(len(pl.servers), func(i, j int) {
		a, b := pl.servers[i], pl.servers[j]
		a.errorShare, b.errorShare = b.errorShare, a.errorShare
	})
	return pl
}

func (p *play) inZone(zone int) int { return p.byZone[zone][p.choice.IntN(len(p.byZone[zone]))] }

// run plays the scene and returns what callers got.
func (p *play) run() sceneOutcome {
	for t := time.Duration(0); t < sceneTime; {
		t += time.Duration(p.random.ExpFloat64() / p.scene.perSecond * float64(time.Second))
		p.at(t, p.arrive)
	}
	for range p.scene.surge {
		p.at(time.Second, p.arrive)
	}
	for second := time.Second; second < sceneTime; second += time.Second {
		p.at(second, func() {
			for _, t := range p.trackers {
				t.Expire(p.now, 15*time.Second)
			}
		})
	}
	if p.policy.shared {
		p.share()
	}
	for p.events.Len() > 0 {
		e := heap.Pop(&p.events).(simEvent)
		p.now = e.at
		e.run()
	}
	return p.outcome
}

// share lets each instance tell the outliers ten times a second what it has seen, and all
// instances hear its ejections a few trips later.
func (p *play) share() {
	var outliers load.Outliers
	for t := shareInterval; t < sceneTime; t += shareInterval {
		p.at(t, func() {
			for _, tracker := range p.trackers {
				tracker.NoteStuck(p.now)
				ejections := outliers.Report(p.now, len(p.servers), tracker.TakeShorts())
				p.at(p.now+4*crossTrip, func() {
					for _, v := range ejections {
						for _, other := range p.trackers {
							other.Eject(p.now, v)
						}
					}
				})
			}
		})
	}
}

const shareInterval = 100 * time.Millisecond

func (p *play) arrive() {
	work := meanWork.Seconds() * (0.5 + p.random.Float64()) / (1 + tailShare*(tailTimes-1))
	if p.random.Float64() < tailShare {
		work *= tailTimes
	}
	r := &simRequest{
		key: p.random.Uint64(), instance: p.random.IntN(len(p.zones)), sent: p.now,
		work: time.Duration(work * float64(time.Second)), luck: p.random.Float64(), unanswered: true,
		bytes: uint32(medianBytes * math.Exp(sizeSpread*p.random.NormFloat64())),
	}
	p.open(r, -1)
	for _, after := range []time.Duration{copyAfter, 3 * copyAfter} {
		p.at(p.now+after, func() {
			if r.unanswered {
				p.trackers[r.instance].Unanswered(p.now, r.key)
				p.open(r, r.server)
			}
		})
	}
	p.at(p.now+7*copyAfter, func() {
		if r.unanswered {
			p.outcome.lost++
		}
	})
}

// open places a request's opening packet.
func (p *play) open(r *simRequest, avoid int) {
	r.server = p.policy.pick(p, r.instance, r.key, avoid)
	p.trackers[r.instance].Open(p.now, r.key, uint64(r.server+1))
	s := p.servers[r.server]
	if s.dead {
		return
	}
	r.unanswered = false
	s.placed++
	way := trip
	if s.zone != p.zones[r.instance] {
		way += crossTrip
	}
	p.at(p.now+3*way, func() {
		p.trackers[r.instance].Observe(p.now, r.key, uint64(r.server+1), load.Packet{Data: true, Ack: 1})
		p.serve(s, r)
	})
}

func (p *play) serve(s *simServer, r *simRequest) {
	switch {
	case p.scene.hangs && r.luck < s.errorShare:
		p.at(r.sent+deadline, func() {
			p.outcome.lost++
			p.finish(r, 0)
		})
	case s.running < p.scene.slots:
		p.work(s, r)
	case len(s.waiting) < queue:
		s.waiting = append(s.waiting, r)
	default:
		p.outcome.turnedAway++
		p.finish(r, errorBytes)
	}
}

func (p *play) work(s *simServer, r *simRequest) {
	s.running++
	if r.luck < s.errorShare {
		r.failed, r.work = true, 0
	}
	p.at(p.now+time.Duration(float64(r.work)*s.slowdown), func() {
		s.running--
		p.answer(r)
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			p.work(s, next)
		}
	})
}

func (p *play) answer(r *simRequest) {
	if r.failed {
		p.outcome.failed++
		p.finish(r, errorBytes)
		return
	}
	took := p.now - r.sent
	p.outcome.took = append(p.outcome.took, took)
	if took <= objective {
		p.outcome.timely++
	} else {
		p.outcome.late++
	}
	p.finish(r, r.bytes)
}

// finish ends a request's flow, after an answer of so many bytes.
func (p *play) finish(r *simRequest, bytes uint32) {
	p.servers[r.server].placed--
	p.trackers[r.instance].Observe(p.now, r.key, uint64(r.server+1), load.Packet{Ack: 1 + bytes, Finish: true})
}

// total returns the number of requests.
func (o sceneOutcome) total() int { return o.timely + o.late + o.turnedAway + o.failed + o.lost }

// share returns the part of the requests that were answered within the objective.
func (o sceneOutcome) share() float64 { return float64(o.timely) / float64(o.total()) }

func (o sceneOutcome) percentile(q float64) time.Duration {
	slices.Sort(o.took)
	return o.took[int(q*float64(len(o.took)-1))]
}

type simEvent struct {
	at    time.Duration
	order int
	run   func()
}

type simEvents []simEvent

func (p *play) at(t time.Duration, run func()) {
	p.scheduled++
	heap.Push(&p.events, simEvent{at: t, order: p.scheduled, run: run})
}

var _ heap.Interface = (*simEvents)(nil)

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// TestPolicies plays each load against each way of placing, with the same requests at
// the same times, and compares what callers get. What is in use must serve callers
// better than the simple ways wherever those differ from one that knows everything.
func TestPolicies(t *testing.T) {
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
	path := filepath.Join("testdata", "policies.golden")
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
