package quorum_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"boragepost/core/quorum"
)

// delayedLink delivers messages in order after a delay in ticks.
type delayedLink struct {
	delay    uint64
	inFlight []delayedMessage
}

type delayedMessage struct {
	at uint64
	m  quorum.Message
}

// TestLearnerReceivesLongLogOnce guards against sending entries again that are
// still in flight: a learner receives a log of 5 MB over links with a delay of
// 100 ms each way.
func TestLearnerReceivesLongLogOnce(t *testing.T) {
	g := NewWithT(t)
	const entries, size, delay = 60, 90_000, 2
	initialVoters := []string{"a", "b", "c"}
	nodes := map[string]*quorum.Node{}
	random := rand.New(rand.NewPCG(1, 1))
	for _, id := range initialVoters {
		nodes[id] = quorum.New(quorum.Config{ID: id, InitialVoters: initialVoters, DynamicMembership: true, Rand: random.IntN}, quorum.PersistentState{})
	}
	nodes["d~1"] = quorum.New(quorum.Config{ID: "d~1", DynamicMembership: true, Rand: random.IntN}, quorum.PersistentState{})
	link := &delayedLink{}
	bytes := 0
	now := uint64(0)
	run := func(ticks int) {
		for range ticks {
			now++
			for _, n := range nodes {
				n.Tick(1)
			}
			link.step(now, nodes, &bytes)
		}
	}
	leader := func() *quorum.Node {
		for _, n := range nodes {
			if n.Role() == quorum.Leader {
				return n
			}
		}
		return nil
	}
	run(60)
	g.Expect(leader()).NotTo(BeNil())
	for range entries {
		leader().Propose(make([]byte, size))
		run(2)
	}
	link.delay, bytes = delay, 0
	for range 20 {
		if l := leader(); l != nil {
			l.AddLearner("d~1")
		}
		run(10)
	}
	g.Expect(nodes["d~1"].IsVoter("d~1")).To(BeTrue())
	g.Expect(bytes).To(BeNumerically("<=", entries*size*11/10), "each entry is sent once")
}

// step delivers the messages that are due and queues new ones.
func (l *delayedLink) step(now uint64, nodes map[string]*quorum.Node, bytes *int) {
	for range 4 {
		for _, n := range nodes {
			for _, m := range n.TakeOutput().Messages {
				for _, e := range m.Entries {
					*bytes += len(e.Data)
				}
				l.inFlight = append(l.inFlight, delayedMessage{at: now + l.delay, m: m})
			}
		}
		notDue := l.inFlight[:0:0]
		for _, q := range l.inFlight {
			if q.at > now {
				notDue = append(notDue, q)
				continue
			}
			nodes[q.m.To].Step(q.m)
		}
		l.inFlight = notDue
	}
}
