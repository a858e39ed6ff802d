package entry

import (
	"time"

	"boragepost/core/model"
	"boragepost/core/shard"
	"boragepost/core/state"
	"boragepost/io/gate"
	"boragepost/io/proto"

	"boragepost/core/flow"
)

const (
	agentTick = 20 * time.Millisecond
	// Intervals in agent ticks.
	beatTicks   = 25
	storeTicks  = 5
	renewTicks  = 50
	expireTicks = 100
	fetchTicks  = 10
)

// agent runs everything but the packet workers and the HTTP handlers.
func (e *Entry) agent() {
	ticker := time.NewTicker(agentTick)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case f := <-e.posts:
			f()
		case q := <-e.queries:
			e.onQuery(q)
		case <-ticker.C:
			e.tick()
		}
	}
}

func (e *Entry) tick() {
	e.ticks++
	now := e.now()
	e.balancer.SetIsland(e.lease.tick(now, e.balancer.HasLease(now)))
	e.retryQuestions(now)
	e.retryClaims(now)
	if e.ticks%beatTicks == 0 {
		e.sendBeat()
		e.resetSilentLink(now)
	}
	if e.ticks%storeTicks == 0 {
		e.sendFlows(e.flows.Tick())
		e.sendClaims(e.claims.Tick())
	}
	if e.ticks%fetchTicks == 0 {
		e.fetchMissing()
	}
	if e.ticks%renewTicks == 0 {
		e.sendRenewals()
	}
	if e.ticks%expireTicks == 0 {
		e.balancer.Expire(now)
		e.flows.Delete(e.keeper.Obsolete)
		e.expireClaims()
	}
}

// install replaces the whole state by a snapshot. A snapshot behind what is in
// force changes nothing.
func (e *Entry) install(data []byte) {
	s, err := state.RestoreRouting(data)
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
			e.control.Reset()
			break
		}
		e.state.Apply(c.Index, c.Command)
	}
	e.refresh()
}

// refresh puts the state in force everywhere in the instance.
func (e *Entry) refresh() {
	version := e.state.Index()
	reports := e.balancer.Apply(flow.NewView(e.state))
	var members []shard.Member
	for _, m := range e.state.Instances() {
		members = append(members, shard.Member{ID: m.ID, Incarnation: m.Incarnation})
	}
	e.refreshPeers()
	e.sendFlows(e.flows.SetMembers(version, members))
	e.sendClaims(e.claims.SetMembers(version, members))
	e.gateway.Apply(e.gatewayView())
	e.applied.Store(version)
	e.report(reports)
	e.lease.applied(e, version)
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

// report asks the keepers to record the flows that a beginning move must not
// mistake for new ones. The version is confirmed when all have been recorded.
func (e *Entry) report(reports []flow.Report) {
	for _, r := range reports {
		e.reports++
		e.ask(r.Key, r.Question, flow.Header{}, nil, true)
	}
	e.confirmIfReported()
}

func (e *Entry) confirmIfReported() {
	if e.reports == 0 {
		e.confirm = e.state.Index()
	}
}
