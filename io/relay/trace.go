package relay

import (
	"time"

	"github.com/sirupsen/logrus"

	"boragepost/core/flow"
	"boragepost/core/load"
	"boragepost/core/roster"
	"boragepost/io/logs"
)

// Lines about single flows are sampled, so that their volume does not follow the
// load: what went as expected more than what did not.
const (
	servedPerSecond = 100
	servedBurst     = 200
	failedPerSecond = 100
	failedBurst     = 200
	// summaryInterval is how often the skipped lines are counted in a line.
	summaryInterval = 5 * time.Second
)

// trace writes the decisions on flows. Its methods are called with the relay's
// lock held.
type trace struct {
	r              *Relay
	served, failed *logs.Sampler
	summedAt       time.Duration
}

func (t *trace) init(r *Relay) {
	t.r = r
	t.served = logs.NewSampler(servedPerSecond, servedBurst)
	t.failed = logs.NewSampler(failedPerSecond, failedBurst)
}

// flowName is how lines name a flow: its caller and its route's address.
func flowName(h flow.CookieHeader) string { return h.Source.String() + ">" + h.Dest.String() }

// placed notes an opening packet that was forwarded.
func (t *trace) placed(h flow.CookieHeader, v flow.CookieVerdict) {
	if !t.served.Allow() {
		return
	}
	b := &t.r.balancer
	held, _ := b.Config()
	s, _ := b.Server(v.Server)
	t.r.log.WithFields(logrus.Fields{
		"flow": flowName(h), "server": logs.FormatServerID(v.Server), "service": s.Service, "version": held.Version,
		"busy": b.Load.InFlight(v.Server), "sequence": s.Sequence, "silent": s.Silent,
		"sameZone": s.Zone == t.r.cfg.Zone,
	}).Info("flowPlaced")
}

// request notes the packet in which a request's identifier shows.
func (t *trace) request(h flow.CookieHeader, v flow.CookieVerdict, packet []byte) {
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

// reset notes a flow that was ended towards its caller. The request is named if
// the packet shows one.
func (t *trace) reset(h flow.CookieHeader, v flow.CookieVerdict, packet []byte) {
	t.failure("flowReset", h, v, packet)
}

// dropped notes a packet that nothing was done with.
func (t *trace) dropped(h flow.CookieHeader, v flow.CookieVerdict, packet []byte) {
	t.failure("packetDropped", h, v, packet)
}

func (t *trace) failure(event string, h flow.CookieHeader, v flow.CookieVerdict, packet []byte) {
	if !t.failed.Allow() {
		return
	}
	held, _ := t.r.balancer.Config()
	fields := logrus.Fields{
		"flow": flowName(h), "reason": string(v.Reason), "opening": h.Start, "version": held.Version,
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

// copied notes an opening packet that came again: its backend server has not
// answered the one before.
func (t *trace) copied(h flow.CookieHeader, v flow.CookieVerdict) {
	if !t.failed.Allow() {
		return
	}
	t.r.log.WithFields(logrus.Fields{
		"flow": flowName(h), "unanswered": logs.FormatServerID(v.Avoided), "server": logs.FormatServerID(v.Server),
	}).Warn("openingRepeated")
}

// summarize counts the lines that were skipped.
func (t *trace) summarize(now time.Duration) {
	if now-t.summedAt < summaryInterval {
		return
	}
	t.summedAt = now
	served, failed := t.served.Skipped(), t.failed.Skipped()
	if served+failed > 0 {
		t.r.log.WithField("served", served).WithField("failed", failed).Info("linesSampled")
	}
}

// learned notes the backend servers whose use has changed.
func (t *trace) learned(replica string, changed []roster.Server) {
	for _, s := range changed {
		t.r.log.WithFields(logs.ServerFields(s)).WithField("replica", replica).Info("serverChanged")
	}
}

// ejected notes that a backend server is avoided from now on, or no longer.
func (t *trace) ejected(replica string, e load.Ejection) {
	t.r.log.WithFields(logrus.Fields{
		"server": logs.FormatServerID(e.ID), "for": e.Period, "replica": replica}).Info("serverEjected")
}
