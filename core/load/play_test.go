package load_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"boragepost/core/load"
)

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
	var outliers load.OutlierDetector
	for t := shareInterval; t < sceneTime; t += shareInterval {
		p.at(t, func() {
			for _, tracker := range p.trackers {
				tracker.DetectStuckRequests(p.now)
				ejections := outliers.Report(p.now, len(p.servers), tracker.TakeFailures())
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
				p.trackers[r.instance].RecordRetransmit(p.now, r.key)
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
