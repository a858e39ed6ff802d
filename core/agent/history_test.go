package agent_test

import (
	"flag"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"boragepost/core/agent"
	"boragepost/core/flow"
	"boragepost/core/leader"
	"boragepost/core/model"
	"boragepost/core/state"
)

// The seed is fixed, so that every run checks the same histories; the command
// line may name another: go test ./core/agent -args -rapid.seed=N -rapid.checks=1000.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
}

const (
	testService = "yard"
	idle        = 4 * time.Second
	step        = 20 * time.Millisecond
)

var serviceAddress = netip.MustParseAddrPort("192.0.2.1:443")

// node is one entry instance in a history.
type node struct {
	id          model.InstanceID
	incarnation uint64
	applied     int // entries of the log
	state       *state.State
	agent       *agent.Agent
	out         map[model.InstanceID][]agent.Message
	paused      bool
}

// held is one flow as its caller sees it.
type held struct {
	header   flow.Header
	server   model.ServerID // that answered first; 0 before that
	lastSent int64
	ended    bool
	seenBy   map[*node]bool
}

// forgetWith ends the UDP flows that only the lost node has seen. UDP does not
// mark the first packet of a flow, so nobody can tell them from new ones.
func (h *history) forgetWith(n *node) {
	for _, f := range h.flows {
		delete(f.seenBy, n)
		if f.header.Protocol == flow.UDP && len(f.seenBy) == 0 {
			f.ended = true
		}
	}
}

// history is a deployment of agents that share a log. Messages between two
// agents keep their order; a link may lose all that is on it. The leader's
// duties run as in a control replica.
type history struct {
	t       *rapid.T
	now     int64
	log     []model.Command
	leader  *state.State
	duties  *leader.Reconciler
	nodes   []*node
	flows   []*held
	servers int
	opened  int
	touches int
}

func newHistory(t *rapid.T, nodes, servers int) *history {
	h := &history{t: t, now: int64(time.Second), leader: state.New(), duties: leader.New(leader.Timing{}, 0)}
	h.propose(model.Command{PutService: &model.PutService{Force: true, Service: model.Service{
		Name: testService, Address: serviceAddress, IdleTimeout: model.Duration(idle),
		DrainTimeout: model.Duration(time.Hour),
	}}})
	for range servers {
		h.announce()
	}
	for i := range nodes {
		n := &node{id: model.InstanceID(fmt.Sprintf("n%d", i))}
		h.nodes = append(h.nodes, n)
		h.boot(n)
	}
	h.settle()
	return h
}

func (h *history) propose(c model.Command) {
	h.log = append(h.log, c)
	h.leader.Apply(uint64(len(h.log)), c)
}

func (h *history) announce() {
	h.servers++
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(h.servers)}), 7000)
	h.propose(model.Command{Announce: &model.Announce{Server: model.BackendServer{
		Name: fmt.Sprintf("s%d", h.servers), Service: testService, Packets: addr, HTTP: addr, Slots: 1, Incarnation: 1,
	}}})
}

// boot starts a node with nothing in its memory.
func (h *history) boot(n *node) {
	n.incarnation++
	n.applied, n.paused = 0, false
	n.state = state.New()
	n.agent = agent.New(agent.Config{Self: n.id})
	n.out = map[model.InstanceID][]agent.Message{}
}

func (h *history) apply(n *node, count int) {
	for ; count > 0 && n.applied < len(h.log); count-- {
		n.applied++
		n.state.Apply(uint64(n.applied), h.log[n.applied-1])
	}
	h.carry(n, n.agent.Apply(h.now, n.state))
}

// carry takes a node's messages onto its links and its packets to the backend
// servers.
func (h *history) carry(n *node, out agent.Output) {
	for _, s := range out.Sends {
		n.out[s.To] = append(n.out[s.To], s.Message)
	}
	for _, p := range out.Packets {
		if p.Verdict.Action == flow.Forward {
			h.arrive(h.flows[int(p.Packet[0])<<8|int(p.Packet[1])], p.Packet[2] == 1, p.Verdict.Server)
		}
	}
}

// arrive checks that a packet reached the backend server of its flow.
func (h *history) arrive(f *held, start bool, server model.ServerID) {
	if _, alive := h.leader.Server(server); !alive {
		return
	}
	switch {
	case f.server == 0 && start:
		f.server = server
	case start:
		// A second backend server may answer a repeated first packet; the
		// caller ignores it.
	case f.server != server:
		h.t.Fatalf("flow %v of server %d reached server %d at version %d\n%s",
			f.header.Source, f.server, server, len(h.log), h.describe(f))
	}
}

// describe returns what each node knows of a flow's bucket.
func (h *history) describe(f *held) string {
	text := fmt.Sprintf("now %v, last packet %v\n", time.Duration(h.now), time.Duration(f.lastSent))
	for _, n := range h.nodes {
		route := n.agent.Balancer().View().Route(testService)
		text += fmt.Sprintf("%s applied=%d paused=%v leased=%v bucket=%+v\n", n.id, n.applied, n.paused,
			n.agent.Balancer().HasLease(h.now), route.Table.Bucket(uint64(f.header.Key())))
	}
	for i, c := range h.log {
		if c.Advance != nil {
			text += fmt.Sprintf("%d advance %+v\n", i+1, *c.Advance)
		}
		if c.Leave != nil || c.Join != nil {
			text += fmt.Sprintf("%d leave=%+v join=%+v\n", i+1, c.Leave, c.Join)
		}
	}
	return text
}

// beat sends a heartbeat and takes the grant.
func (h *history) beat(n *node) {
	prepared, fetched := n.agent.Progress()
	in := model.Instance{ID: n.id, Incarnation: n.incarnation}
	granted := h.duties.Heartbeat(time.Duration(h.now), leader.Heartbeat{
		Instance: in, Prepared: prepared, Fetched: fetched, Applied: uint64(n.applied)}, h.leader)
	if granted && n.applied == len(h.log) {
		n.agent.Balancer().RenewLease(h.now + int64(2*time.Second))
	}
}

func (h *history) deliver(from *node, to model.InstanceID) {
	queue := from.out[to]
	if len(queue) == 0 {
		return
	}
	from.out[to] = queue[1:]
	i := slices.IndexFunc(h.nodes, func(n *node) bool { return n.id == to })
	target := h.nodes[i]
	if !target.paused {
		h.carry(target, target.agent.Handle(h.now, from.id, queue[0]))
	}
}

// run lets time pass, with heartbeats and the leader's ticks.
func (h *history) run(d time.Duration, lag bool) {
	for end := h.now + int64(d); h.now < end; {
		h.now += int64(step)
		for _, n := range h.nodes {
			if n.paused {
				continue
			}
			if !lag {
				h.apply(n, len(h.log))
			}
			h.carry(n, n.agent.Tick(h.now))
			if h.now/int64(step)%10 == 0 {
				h.beat(n)
			}
		}
		h.drainLinks()
		for _, c := range h.duties.Tick(time.Duration(h.now), h.now/int64(time.Millisecond), h.leader) {
			if c.RemoveServers == nil { // this history renews no backend servers
				h.propose(c)
			}
		}
	}
}

func (h *history) drainLinks() {
	for busy := true; busy; {
		busy = false
		for _, n := range h.nodes {
			for _, to := range slices.Sorted(maps.Keys(n.out)) {
				if len(n.out[to]) > 0 && !n.paused {
					busy = true
					h.deliver(n, to)
				}
			}
		}
	}
}

func (h *history) settle() { h.run(3*time.Second, false) }

// packet sends a packet of a flow through a node.
func (h *history) packet(n *node, f *held, start bool) {
	if n.paused || f.ended {
		return
	}
	if f.lastSent > 0 && h.now-f.lastSent >= int64(idle) {
		f.ended = true // silence longer than the idle timeout ends a flow
		return
	}
	f.seenBy[n] = true
	header := f.header
	header.Start = start && header.Protocol == flow.TCP
	f.lastSent = h.now
	v := n.agent.Balancer().Decide(h.now, header)
	first := byte(0)
	if start {
		first = 1
	}
	i := slices.Index(h.flows, f)
	id := []byte{byte(i >> 8), byte(i), first}
	switch {
	case v.Action == flow.Query:
		h.carry(n, n.agent.Query(h.now, agent.Query{Verdict: v, Header: header, Packet: id}))
	case v.Action == flow.Forward:
		h.arrive(f, start, v.Server)
		if v.Report {
			h.carry(n, n.agent.Query(h.now, agent.Query{Verdict: v, Header: header}))
		}
	}
}

// touch sends a packet of every flow, as callers do before the idle timeout.
func (h *history) touch() {
	h.touches++
	for i, f := range h.flows {
		for k := range h.nodes {
			n := h.nodes[(i+k+h.touches)%len(h.nodes)]
			if !n.paused {
				h.packet(n, f, f.server == 0)
				break
			}
		}
	}
}

func (h *history) open(n *node, udp bool) {
	h.opened++
	addr := netip.AddrFrom4([4]byte{100, 0, byte(h.opened >> 8), byte(h.opened)})
	f := &held{seenBy: map[*node]bool{}, header: flow.Header{Source: netip.AddrPortFrom(addr, 4000), Dest: serviceAddress, Protocol: flow.TCP}}
	if udp {
		f.header.Protocol = flow.UDP
	}
	h.flows = append(h.flows, f)
	h.packet(n, f, true)
}

func (h *history) active() []model.BackendServer {
	return slices.DeleteFunc(h.leader.ServersOf(testService), func(b model.BackendServer) bool {
		return b.Phase != model.Active
	})
}

// whole reports whether no loss is under repair: all nodes run, are members and
// have gathered their shards. Records have two replicas, so the next loss must
// not come before that.
func (h *history) whole() bool {
	for _, n := range h.nodes {
		m, member := h.leader.Instance(n.id)
		if n.paused || !member || m.Incarnation != n.incarnation || n.applied < len(h.log) || n.agent.SyncingShards() > 0 {
			return false
		}
	}
	return true
}

// TestEstablishedFlowsKeepTheirServer runs random histories of planned changes,
// restarts, pauses, lost links and lagging instances.
func TestEstablishedFlowsKeepTheirServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t, 4, 3)
		pick := func(label string) *node { return h.nodes[rapid.IntRange(0, len(h.nodes)-1).Draw(t, label)] }
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				n, udp := pick("node"), rapid.Bool().Draw(t, "udp")
				for range 4 {
					h.open(n, udp)
				}
			},
			"packet": func(t *rapid.T) {
				if len(h.flows) > 0 {
					f := h.flows[rapid.IntRange(0, len(h.flows)-1).Draw(t, "flow")]
					h.packet(pick("node"), f, f.server == 0)
				}
			},
			"touch": func(t *rapid.T) { h.touch() },
			"drain": func(t *rapid.T) {
				if active := h.active(); len(active) > 1 {
					b := active[rapid.IntRange(0, len(active)-1).Draw(t, "server")]
					h.propose(model.Command{Drain: &model.Drain{Service: testService, Name: b.Name}})
				}
			},
			"announce": func(t *rapid.T) {
				if h.servers < 12 {
					h.announce()
				}
			},
			"apply": func(t *rapid.T) {
				if n := pick("node"); !n.paused {
					h.apply(n, rapid.IntRange(1, 3).Draw(t, "entries"))
				}
			},
			"lag":   func(t *rapid.T) { h.run(200*time.Millisecond, true) },
			"short": func(t *rapid.T) { h.run(400*time.Millisecond, false) },
			"long": func(t *rapid.T) {
				for range 8 {
					h.run(700*time.Millisecond, false)
					h.touch()
				}
			},
			"loseLinks": func(t *rapid.T) { clear(pick("node").out) },
			"restart": func(t *rapid.T) {
				n := pick("node")
				if h.whole() {
					h.forgetWith(n)
					h.boot(n)
					h.run(400*time.Millisecond, false)
				}
			},
			"pause": func(t *rapid.T) {
				n := pick("node")
				if h.whole() {
					h.forgetWith(n)
					n.paused = true
				}
			},
			"resume": func(t *rapid.T) { pick("node").paused = false },
		})
	})
}
