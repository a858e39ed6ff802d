package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"boragepost/core/agent"
	"boragepost/core/model"
	"boragepost/core/shard"
	"boragepost/core/state"
	"boragepost/io/gate"
	"boragepost/io/proto"
)

const (
	loopTick = 20 * time.Millisecond
	// Intervals in loop ticks.
	heartbeatTicks   = 25
	claimStoreTicks  = 5
	renewalTicks     = 50
	claimExpiryTicks = 100
)

// loop is the event loop. It owns all state except that of the packet workers and
// the HTTP handlers.
func (e *Entry) loop() {
	ticker := time.NewTicker(loopTick)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case f := <-e.tasks:
			f()
		case q := <-e.queries:
			e.sendOutput(e.agent.Query(e.now(), q))
		case <-ticker.C:
			e.tick()
		}
	}
}

func (e *Entry) tick() {
	e.ticks++
	now := e.now()
	autonomous := e.lease.tick(now, e.balancer.HasLease(now))
	if autonomous {
		e.openGateway()
	}
	e.balancer.SetAutonomous(autonomous)
	e.sendOutput(e.agent.Tick(now))
	e.reportProgress()
	e.probeWithoutLease(now)
	e.retryClaims(now)
	if e.ticks%heartbeatTicks == 0 {
		e.sendHeartbeat()
		e.reconnectIfSilent(now)
	}
	if e.ticks%claimStoreTicks == 0 {
		e.sendClaims(e.claims.Tick())
	}
	if e.ticks%renewalTicks == 0 {
		e.sendRenewals()
	}
	if e.ticks%claimExpiryTicks == 0 {
		e.expireClaims()
	}
}

// installSnapshot replaces the whole state with a snapshot. A snapshot older
// than the applied version is ignored.
func (e *Entry) installSnapshot(data []byte) {
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
	e.applyState()
}

// applyCommands applies committed commands. Commands at or below the applied
// version have no effect. On a gap in the log, the instance reconnects and requests
// the commands after its applied version again.
func (e *Entry) applyCommands(commands []proto.Applied) {
	for _, c := range commands {
		if c.Index > e.state.Index()+1 {
			e.log.WithField("have", e.state.Index()).WithField("offered", c.Index).Warn("configurationGap")
			e.control.Reconnect()
			break
		}
		e.state.Apply(c.Index, c.Command)
	}
	e.applyState()
}

// applyState propagates the current state to all parts of the instance.
func (e *Entry) applyState() {
	version := e.state.Index()
	e.updatePeers()
	e.sendOutput(e.agent.Apply(e.now(), e.state))
	e.reportProgress()
	e.sendClaims(e.claims.SetMembers(version, shard.Members(e.state.Instances())))
	e.resendClaims()
	if e.gatewayOpen {
		e.gateway.Apply(e.gatewayView())
	}
	e.applied.Store(version)
	e.logEvacuations()
	e.lease.renewIfApplied(e, version)
	if in, ok := e.state.Instance(e.self.ID); ok && in.Incarnation == e.self.Incarnation && !e.balancer.HasLease(e.now()) {
		// A new member is responsible for its shards immediately, so it requests
		// its lease without waiting for the next heartbeat.
		e.sendHeartbeat()
	}
}

// sendOutput sends the messages and packets that the agent has produced.
func (e *Entry) sendOutput(out agent.Output) {
	for _, s := range out.Sends {
		e.sendPeer(s.To, proto.ToPeer{Agent: &s.Message})
	}
	for _, h := range out.Packets {
		e.dataPlane.sendResolved(h.Verdict, h.Packet)
	}
}

// reportProgress sends a heartbeat ahead of schedule if this instance has made
// progress that a pending bucket move waits for.
func (e *Entry) reportProgress() {
	if !e.agent.HasPendingMoves() {
		return // Progress iterates over every moved bucket
	}
	prepared, fetched := e.agent.Progress()
	if prepared == e.reported.prepared && fetched == e.reported.fetched {
		return
	}
	if now := e.now(); now-e.reported.at >= int64(minHeartbeatInterval) {
		e.sendHeartbeat()
	}
}

// minHeartbeatInterval is the minimum interval between a heartbeat and the next
// one that is sent ahead of schedule.
const minHeartbeatInterval = 50 * time.Millisecond

// reportedProgress is the progress that the latest heartbeat reported.
type reportedProgress struct {
	prepared, fetched uint64
	at                int64 // when the heartbeat was sent
}

// openGateway gives the gateway the state for the first time. It is called with the
// first lease or the first autonomous mode, like new flows: a replica that lags behind
// may have sent a state from before an evacuation.
func (e *Entry) openGateway() {
	if !e.gatewayOpen {
		e.gatewayOpen = true
		e.gateway.Apply(e.gatewayView())
	}
}

// logEvacuations logs the set of evacuated zones if it has changed.
func (e *Entry) logEvacuations() {
	revision := e.state.EvacuationVersion()
	if former := e.evacuationRevision.Swap(revision); former != revision {
		e.log.WithFields(logrus.Fields{"revision": revision, "former": former, "zones": e.state.EvacuatedZones()}).
			Info("evacuationInForce")
	}
}

func (e *Entry) gatewayView() gate.View {
	view := gate.View{}
	evacuated := map[string]bool{}
	for _, zone := range e.state.EvacuatedZones() {
		evacuated[zone] = true
	}
	servers := map[string][]model.BackendServer{}
	for _, b := range e.state.Servers() {
		servers[b.Service] = append(servers[b.Service], b)
	}
	for _, svc := range e.state.Services() {
		view.Services = append(view.Services, gate.Service{Service: svc, Servers: servers[svc.Name], Evacuated: evacuated})
	}
	return view
}
