package shard_test

import (
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragepost/core/model"
	"boragepost/core/shard"
)

func TestShard(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "shard")
}

type store = shard.Store[uint64, string]

// net carries messages between stores and drops those to and from lost ones.
type net struct {
	stores  map[model.InstanceID]*store
	lost    map[model.InstanceID]bool
	answers map[model.InstanceID][]shard.Response[string]
}

func newNet(ids ...model.InstanceID) *net {
	n := &net{stores: map[model.InstanceID]*store{}, lost: map[model.InstanceID]bool{},
		answers: map[model.InstanceID][]shard.Response[string]{}}
	for _, id := range ids {
		n.boot(id)
	}
	return n
}

func (n *net) boot(id model.InstanceID) {
	n.stores[id] = shard.New(shard.Config[uint64, string]{
		Self: id, ShardOf: func(k uint64) int { return int(k % shard.Shards) },
		Decide: func(_ uint64, ask, old string, exists bool) (string, bool) {
			if exists {
				return old, false
			}
			return ask, true
		},
		OnResponse: func(a shard.Response[string]) { n.answers[id] = append(n.answers[id], a) },
	})
}

func (n *net) send(from model.InstanceID, sends []shard.Send[uint64, string]) {
	for _, s := range sends {
		if !n.lost[from] && !n.lost[s.To] && n.stores[s.To] != nil {
			n.send(s.To, n.stores[s.To].Handle(from, s.Message))
		}
	}
}

// members installs a version at the given stores, in the order of joined.
func (n *net) members(version uint64, at []model.InstanceID, joined map[model.InstanceID]uint64) {
	var list []shard.Member
	for id, v := range joined {
		list = append(list, shard.Member{ID: id, Joined: v})
	}
	for _, id := range at {
		n.send(id, n.stores[id].SetMembers(version, list))
	}
	for _, id := range at {
		n.send(id, n.stores[id].Tick())
	}
}

// ask returns the answer to a question through a store, "" without one.
func (n *net) ask(via model.InstanceID, key uint64, arg string) string {
	n.answers[via] = nil
	n.send(via, n.stores[via].Request(1, key, arg))
	if len(n.answers[via]) == 0 || n.answers[via][0].Status != shard.OK {
		return ""
	}
	return n.answers[via][0].Value
}

var _ = Describe("a store", func() {
	all := []model.InstanceID{"a", "b", "c", "d"}
	first := map[model.InstanceID]uint64{"a": 1, "b": 1, "c": 1, "d": 1}
	const keys = 200
	var n *net

	fill := func() {
		for k := range uint64(keys) {
			Expect(n.ask("a", k, "first")).To(Equal("first"))
		}
	}
	expectFirst := func(via model.InstanceID) {
		for k := range uint64(keys) {
			Expect(n.ask(via, k, "second")).To(Equal("first"), "key %d", k)
		}
	}

	BeforeEach(func() {
		n = newNet(all...)
		n.members(1, all, first)
	})

	It("gives every asker the first value", func() {
		fill()
		expectFirst("c")
	})

	It("keeps its records through a second loss right after the repair of the first", func() {
		fill()
		n.lost["a"] = true
		n.members(2, all[1:], map[model.InstanceID]uint64{"b": 1, "c": 1, "d": 1})
		n.lost["b"] = true
		n.members(3, all[2:], map[model.InstanceID]uint64{"c": 1, "d": 1})
		expectFirst("d")
	})

	It("does not answer before it has heard from every member", func() {
		fill()
		n.lost["a"], n.lost["b"] = true, true
		n.members(2, all[2:], map[model.InstanceID]uint64{"b": 1, "c": 1, "d": 1})
		answered := 0
		for k := range uint64(keys) {
			if n.ask("d", k, "second") == "second" {
				answered++
			}
		}
		Expect(answered).To(BeZero())
	})

	It("gathers anew when it rejoins without having seen its own absence", func() {
		frozen := slices.Clone(all[:1])
		rest := all[1:]
		n.lost["a"] = true
		n.members(2, rest, map[model.InstanceID]uint64{"b": 1, "c": 1, "d": 1})
		for k := range uint64(keys) {
			Expect(n.ask("b", k, "first")).To(Equal("first"))
		}
		n.lost["a"] = false
		back := map[model.InstanceID]uint64{"a": 3, "b": 1, "c": 1, "d": 1}
		n.members(3, append(frozen, rest...), back)
		n.members(4, all, back)
		expectFirst("a")
	})

	It("answers a question of a later membership once it has seen that itself", func() {
		next := map[model.InstanceID]uint64{"a": 1, "b": 1}
		n.send("a", n.stores["a"].SetMembers(2, []shard.Member{{ID: "a", Joined: 1}, {ID: "b", Joined: 1}}))
		for k := range uint64(keys) {
			Expect(n.ask("a", k, "x")).To(BeEmpty(), "key %d", k)
		}
		n.answers["a"] = nil
		n.members(2, []model.InstanceID{"b"}, next)
		Expect(n.answers["a"]).To(HaveLen(keys))
		for _, a := range n.answers["a"] {
			Expect(a.Status).To(Equal(shard.OK))
		}
	})
})
