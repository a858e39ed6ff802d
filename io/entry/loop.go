package entry

import (
	"time"

	"boragepost/core/agent"
	"boragepost/core/model"
	"boragepost/core/shard"
	"boragepost/core/state"
	"boragepost/io/gate"
	"boragepost/io/proto"
)

const (
	loopTick = 20 * time.Millisecond
	// Intervals in ticks of the loop.
	beatTicks   = 25
	storeTicks  = 5
	renewTicks  = 50
	expireTicks = 100
)

// loop runs everything but the packet workers and the HTTP handlers.
func (e *Entry) loop() {
	ticker := time.NewTicker(loopTick)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case f := <-e.posts:
			f()
		case q := <-e.queries:
			e.carryOut(e.agent.Query(e.now(), q))
		case <-ticker.C:
			e.tick()
		}
	}
}

func (e *Entry) tick() {
	e.ticks++
	now := e.now()
	e.balancer.SetAutonomous(e.lease.tick(now, e.balancer.HasLease(now)))
	e.carryOut(e.agent.Tick(now))
	e.confirmEarly()
	e.probeWithoutLease(now)
	e.retryClaims(now)
	if e.ticks%beatTicks == 0 {
		e.sendBeat()
		e.resetSilentLink(now)
	}
	if e.ticks%storeTicks == 0 {
		e.sendClaims(e.claims.Tick())
	}
	if e.ticks%renewTicks == 0 {
		e.sendRenewals()
	}
	if e.ticks%expireTicks == 0 {
		e.expireClaims()
	}
}

// install replaces the whole state by a snapshot. A snapshot behind what is in
// force changes nothing.
func (e *Entry) install(data []byte) {
	s, err := state.RestoreRoutingSnapshot(data)
	if err != nil {
		e.log.WithError(err).Error("snapshotRefused")
		return
	}
	if s.Index() < e.state.Index() {
		e.log.WithField("have", e.state.Index()).WithField("offered", s.Index()).Warn("staleSnapshotRefused")
		return
	}
	e.state = s
	e.refresh()
}

// follow applies committed commands. Commands at or below the version in force
// change nothing; a gap makes the instance ask again.
func (e *Entry) follow(commands []proto.Applied) {
	for _, c := range commands {
		if c.Index > e.state.Index()+1 {
			e.log.WithField("have", e.state.Index()).WithField("offered", c.Index).Warn("configurationGap")
			e.control.Reconnect()
			break
		}
		e.state.Apply(c.Index, c.Command)
	}
	e.refresh()
}

// refresh puts the state in force everywhere in the instance.
func (e *Entry) refresh() {
	version := e.state.Index()
	e.refreshPeers()
	e.carryOut(e.agent.Apply(e.now(), e.state))
	e.confirmEarly()
	e.sendClaims(e.claims.SetMembers(version, shard.Members(e.state.Instances())))
	e.askClaimsAgain()
	e.gateway.Apply(e.gatewayView())
	e.applied.Store(version)
	e.lease.applied(e, version)
	if in, ok := e.state.Instance(e.self.ID); ok && in.Incarnation == e.self.Incarnation && !e.balancer.HasLease(e.now()) {
		// A new member holds shards at once, so it asks for its lease at once.
		e.sendBeat()
	}
}

// carryOut sends the messages and packets of an agent's output.
func (e *Entry) carryOut(out agent.Output) {
	for _, s := range out.Sends {
		e.sendPeer(s.To, proto.ToPeer{Agent: &s.Message})
	}
	for _, h := range out.Packets {
		e.plane.sendHeld(h.Verdict, h.Packet)
	}
}

// confirmEarly sends a heartbeat ahead of time when a bucket move waits for
// this instance's progress.
func (e *Entry) confirmEarly() {
	if !e.agent.HasPendingMoves() {
		return // working out the progress looks at every moved bucket
	}
	confirmed, fetched := e.agent.Progress()
	if confirmed == e.beat.confirmed && fetched == e.beat.fetched {
		return
	}
	if now := e.now(); now-e.beat.at >= int64(earlyBeat) {
		e.sendBeat()
	}
}

// earlyBeat is the least time between two heartbeats that report progress.
const earlyBeat = 50 * time.Millisecond

// lastBeat is what the latest heartbeat reported.
type lastBeat struct {
	confirmed, fetched uint64
	at                 int64
}

func (e *Entry) gatewayView() gate.View {
	view := gate.View{}
	servers := map[string][]model.BackendServer{}
	for _, b := range e.state.Servers() {
		servers[b.Service] = append(servers[b.Service], b)
	}
	for _, svc := range e.state.Services() {
		view.Services = append(view.Services, gate.Service{Service: svc, Servers: servers[svc.Name]})
	}
	return view
}
