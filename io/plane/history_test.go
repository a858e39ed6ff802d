package plane_test

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragepost/io/plane"
)

// call is one call of an operator: an offer of a version, or a read.
type call struct {
	read    bool
	version uint64
}

// register is a configuration of which the highest version wins.
var register = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		held, c := state.(uint64), input.(call)
		if c.read {
			return output.(uint64) == held, held
		}
		return true, max(held, c.version)
	},
}

// recorder collects the calls of several operators.
type recorder struct {
	start time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
}

// record makes one call and notes when it began and ended. An offer without an
// answer may take effect at any later time; a read without one says nothing.
func (h *recorder) record(client int, c call, f func() (uint64, error)) {
	began := time.Since(h.start).Nanoseconds()
	out, err := f()
	ended := time.Since(h.start).Nanoseconds()
	if err != nil {
		if c.read {
			return
		}
		ended = math.MaxInt64
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: c, Call: began, Output: out, Return: ended})
}

// guarded is a site whose replicas come and go while operators use it.
type guarded struct {
	*site
	mu sync.RWMutex
}

func (g *guarded) pick(random *rand.Rand) *plane.Replica {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.replicas[g.seeds[random.IntN(len(g.seeds))]]
}

var _ = Describe("the history of all calls", func() {
	It("has an order in which each read shows the highest version before it", func() {
		g := &guarded{site: newSite(3)}
		offer(g.any(), 1)
		h := &recorder{start: time.Now()}
		h.record(0, call{version: 1}, func() (uint64, error) { return 0, nil })
		h.ops[0].Call = 0
		var latest atomic.Uint64
		latest.Store(1)
		var operators sync.WaitGroup
		stop := make(chan struct{})
		for client := range 5 {
			operators.Go(func() {
				random := rand.New(rand.NewPCG(1, uint64(client)))
				for {
					select {
					case <-stop:
						return
					default:
						g.act(h, client+1, random, &latest)
					}
				}
			})
		}
		for i := range 6 {
			a := g.seeds[i%3]
			g.mu.Lock()
			g.stop(a)
			if i == 4 {
				g.wipe(a)
			}
			g.mu.Unlock()
			time.Sleep(300 * time.Millisecond)
			g.mu.Lock()
			g.start(a, false)
			g.mu.Unlock()
			time.Sleep(time.Second)
		}
		close(stop)
		operators.Wait()
		Expect(len(h.ops)).To(BeNumerically(">", 200))
		Expect(porcupine.CheckOperationsTimeout(register, h.ops, time.Minute)).To(Equal(porcupine.Ok))
	})
})

// act makes one call of an operator at any replica that runs.
func (g *guarded) act(h *recorder, client int, random *rand.Rand, latest *atomic.Uint64) {
	r := g.pick(random)
	if r == nil {
		return
	}
	time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	if random.IntN(3) > 0 {
		h.record(client, call{read: true}, func() (uint64, error) {
			c, err := r.ReadLatest(within(500 * time.Millisecond))
			return c.Version, err
		})
		return
	}
	v := latest.Add(1)
	h.record(client, call{version: v}, func() (uint64, error) {
		return 0, r.Propose(within(500*time.Millisecond), version(v))
	})
}
