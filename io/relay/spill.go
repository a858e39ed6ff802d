package relay

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"boragepost/core/spill"
)

const (
	// leavingStep is the change of the fraction of flows that leave the zone that is
	// logged: an operator sees it in the zone's traffic.
	leavingStep = 0.1
	// leavingInterval is the least time between two lines about one service.
	leavingInterval = 5 * time.Second
	// maxLeavingLines bounds the lines of one second, for configurations with many
	// services. The others follow in later seconds.
	maxLeavingLines = 10
)

// spillLog holds what was last reported of the flows that leave the zone. The zero value
// has reported nothing.
type spillLog struct {
	services map[string]leavingReport
}

type leavingReport struct {
	state  spill.State // of the latest metrics
	logged float64     // fraction of the latest line
	at     time.Duration
	// left and flows were counted when the fraction was last computed.
	left, flows uint64
}

// logLeaving updates the metrics on flows that leave the zone, and logs noticeable changes
// of their fraction. Relay.mu must be held. It is called about once a second.
func (r *Relay) logLeaving(now time.Duration) {
	l := &r.spillLog
	if l.services == nil {
		l.services = map[string]leavingReport{}
	}
	states := r.balancer.Load.LeavingByService()
	for name, last := range l.services {
		if _, ok := states[name]; !ok {
			r.counters.leavingShare.DeleteLabelValues(name, string(last.state.Reason))
			r.counters.leavingGain.DeleteLabelValues(name)
			r.counters.leftZone.DeleteLabelValues(name)
			delete(l.services, name)
		}
	}
	lines := 0
	for _, name := range slices.Sorted(maps.Keys(states)) {
		st, last := states[name], l.services[name]
		r.countLeaving(name, st, last.state)
		last.state = st
		if flows := st.Flows - last.flows; flows > 0 && now-last.at >= leavingInterval && lines < maxLeavingLines {
			fraction := float64(st.Left-last.left) / float64(flows)
			if math.Abs(fraction-last.logged) >= leavingStep {
				lines++
				r.log.WithFields(logrus.Fields{
					"service": name, "left": fraction, "former": last.logged, "share": st.Share, "reason": string(st.Reason),
					"homeWait": st.HomeWait, "awayWait": st.AwayWait, "price": st.Price, "gain": st.Gain, "flows": flows,
				}).Info("leavingChanged")
				last.logged = fraction
			}
			last.left, last.flows, last.at = st.Left, st.Flows, now
		}
		l.services[name] = last
	}
}

func (r *Relay) countLeaving(service string, st, last spill.State) {
	if st.Reason != last.Reason {
		r.counters.leavingShare.DeleteLabelValues(service, string(last.Reason))
	}
	r.counters.leavingShare.WithLabelValues(service, string(st.Reason)).Set(st.Share)
	r.counters.leavingGain.WithLabelValues(service).Set(st.Gain.Seconds())
	r.counters.leftZone.WithLabelValues(service).Add(float64(st.Left - last.Left))
}
