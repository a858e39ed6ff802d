package relay

import (
	"time"

	"github.com/sirupsen/logrus"

	"boragepost/core/cold"
	"boragepost/core/flow"
	"boragepost/core/load"
	"boragepost/core/roster"
	"boragepost/core/sched"
	"boragepost/io/logs"
)

// Log lines about single flows are rate-limited, so that their volume does not
// grow with the load. Successes and failures have separate limits, so that one
// does not crowd out the other.
const (
	servedPerSecond = 100
	servedBurst     = 200
	failedPerSecond = 100
	failedBurst     = 200
	// summaryInterval is how often the number of skipped lines is logged.
	summaryInterval = 5 * time.Second
	// While only cold backend servers are left, each new flow is logged as reset. The
	// inputs of these decisions hardly differ, so a few lines a second suffice.
	coldLimitedPerSecond = 2
	coldLimitedBurst     = 5
)

// flowLog logs routing decisions. Relay.mu must be held when its methods are
// called.
type flowLog struct {
	r              *Relay
	served, failed *logs.Sampler
	coldLimited    *logs.Sampler
	summarizedAt   time.Duration
}

func (t *flowLog) init(r *Relay) {
	t.r = r
	t.served = logs.NewSampler(servedPerSecond, servedBurst)
	t.failed = logs.NewSampler(failedPerSecond, failedBurst)
	t.coldLimited = logs.NewSampler(coldLimitedPerSecond, coldLimitedBurst)
}

// flowName returns the name of a flow in log lines: the addresses of its caller
// and its route.
func flowName(h flow.CookieHeader) string { return h.Source.String() + ">" + h.Dest.String() }

// logPlaced logs the placement of a new flow.
func (t *flowLog) logPlaced(h flow.CookieHeader, v flow.CookieVerdict) {
	if !t.served.Allow() {
		return
	}
	b := &t.r.balancer
	current, _ := b.Config()
	s, _ := b.Server(v.Server)
	t.r.log.WithFields(logrus.Fields{
		"flow": flowName(h), "server": logs.FormatServerID(v.Server), "service": s.Service, "version": current.Version,
		"busy": b.Load.InFlight(v.Server), "sequence": s.Sequence, "silent": s.Silent,
		"sameZone": s.Zone == t.r.cfg.Zone,
	}).Info("flowPlaced")
}

// logRequest logs a forwarded packet that contains a request's identifier.
func (t *flowLog) logRequest(h flow.CookieHeader, v flow.CookieVerdict, packet []byte) {
	if t.r.cfg.PacketFormat.RequestID == nil {
		return
	}
	id := t.r.cfg.PacketFormat.RequestID(packet)
	if id == "" || !t.served.Allow() {
		return
	}
	s, _ := t.r.balancer.Server(v.Server)
	t.r.log.WithFields(logrus.Fields{
		"request": id, "flow": flowName(h), "server": logs.FormatServerID(v.Server), "phase": s.Phase.String(),
		"silent": s.Silent, "busy": t.r.balancer.Load.InFlight(v.Server),
	}).Info("requestForwarded")
}

func (t *flowLog) logReset(h flow.CookieHeader, v flow.CookieVerdict, packet []byte) {
	t.logFailure("flowReset", h, v, packet)
}

func (t *flowLog) logDropped(h flow.CookieHeader, v flow.CookieVerdict, packet []byte) {
	t.logFailure("packetDropped", h, v, packet)
}

// logFailure logs a reset that was sent to a caller, or a dropped packet, with the
// request's identifier if the packet contains one.
func (t *flowLog) logFailure(event string, h flow.CookieHeader, v flow.CookieVerdict, packet []byte) {
	if !t.failed.Allow() {
		return
	}
	current, _ := t.r.balancer.Config()
	fields := logrus.Fields{
		"flow": flowName(h), "reason": string(v.Reason), "opening": h.Start, "version": current.Version,
		"cookie": uint32(h.Cookie),
	}
	if v.Server != 0 {
		s, _ := t.r.balancer.Server(v.Server)
		fields["server"], fields["phase"], fields["incarnation"] = logs.FormatServerID(v.Server), s.Phase.String(), s.Incarnation
	}
	if t.r.cfg.PacketFormat.RequestID != nil {
		if id := t.r.cfg.PacketFormat.RequestID(packet); id != "" {
			fields["request"] = id
		}
	}
	t.r.log.WithFields(fields).Warn(event)
}

// logRefused logs the refusal of an upload with the inputs to the decision.
func (t *flowLog) logRefused(h flow.CookieHeader, a sched.Admission) {
	if !t.failed.Allow() {
		return
	}
	t.r.log.WithFields(logrus.Fields{
		"flow": flowName(h), "reason": string(sched.Busy), "wait": a.Wait.Round(time.Millisecond), "limit": a.Limit,
		"open": a.Open, "remainingBytes": int(a.Remaining), "meanBytes": int(a.Size), "learned": a.Learned,
		"bytesPerSecond": int(a.Rate), "interactive": int(a.Interactive), "asked": a.Seen, "refused": a.Refused,
	}).Warn("uploadRefused")
}

// logRetransmission logs a retransmitted opening packet: the backend server that
// received the previous one has not answered.
func (t *flowLog) logRetransmission(h flow.CookieHeader, v flow.CookieVerdict) {
	if !t.failed.Allow() {
		return
	}
	t.r.log.WithFields(logrus.Fields{
		"flow": flowName(h), "unanswered": logs.FormatServerID(v.Avoided), "server": logs.FormatServerID(v.Server),
	}).Warn("openingRepeated")
}

// logColdLimited logs that a new flow was reset because all backend servers of its service
// are cold and the grants held here allow no more opening packets.
func (t *flowLog) logColdLimited(now time.Duration, h flow.CookieHeader) {
	if !t.coldLimited.Allow() {
		return
	}
	service, cold, perSecond := t.r.balancer.ColdServers(now, h)
	t.r.log.WithFields(logrus.Fields{"flow": flowName(h), "service": service, "cold": cold,
		"perSecond": perSecond, "grants": t.r.balancer.HeldGrants(now)}).Warn("coldLimited")
}

// logGrant logs a grant for a cold backend server, or that it was discarded.
func (t *flowLog) logGrant(replica string, g cold.Grant, accepted bool) {
	t.r.log.WithFields(logrus.Fields{"server": logs.FormatServerID(g.Server), "incarnation": g.Incarnation,
		"for": g.Remaining, "replica": replica, "accepted": accepted}).Info("coldGranted")
}

// logSkipped logs how many lines were skipped since the last summary.
func (t *flowLog) logSkipped(now time.Duration) {
	if now-t.summarizedAt < summaryInterval {
		return
	}
	t.summarizedAt = now
	served, failed := t.served.Skipped(), t.failed.Skipped()
	if served+failed > 0 {
		t.r.log.WithField("served", served).WithField("failed", failed).Info("linesSampled")
	}
}

// logServers logs backend servers whose routing has changed. The first records of an
// instance, which are those of the whole deployment, get one line.
func (t *flowLog) logServers(replica string, changed []roster.Server, initial bool) {
	log := t.r.log.WithField("replica", replica)
	if initial {
		log.WithField("servers", len(changed)).Info("serversReceived")
		return
	}
	for _, s := range changed {
		log.WithFields(logs.ServerFields(s)).Info("serverChanged")
	}
}

// logEjection logs the start or the end of a backend server's ejection.
func (t *flowLog) logEjection(replica string, e load.Ejection) {
	t.r.log.WithFields(logrus.Fields{
		"server": logs.FormatServerID(e.ID), "for": e.Period, "replica": replica}).Info("serverEjected")
}
