package ctrl

import (
	"cmp"
	"slices"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"boragepost/core/quorum"
)

func sortZones(zones []ZoneCondition) {
	slices.SortFunc(zones, func(a, b ZoneCondition) int { return cmp.Compare(a.Zone, b.Zone) })
}

// newRegistry returns a registry with the replica's metrics.
func (r *Replica) newRegistry() *prometheus.Registry {
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	gauge := func(name, help string, value func() float64) {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "boragepost", Subsystem: "control", Name: name, Help: help},
			func() (v float64) {
				r.callOnLoop(func() { v = value() })
				return v
			}))
	}
	gauge("commit_index", "Highest committed log index.", func() float64 { return float64(r.node.Commit()) })
	gauge("term", "Current term.", func() float64 { return float64(r.node.Term()) })
	gauge("is_leader", "1 while this replica leads with a quorum.", func() float64 {
		if r.node.Role() == quorum.Leader && r.node.HasLease() {
			return 1
		}
		return 0
	})
	gauge("evacuated_zones", "Evacuated availability zones.", func() float64 { return float64(len(r.state.Evacuations())) })
	gauge("evacuation_revision", "Revision of the evacuated zones; 0 before the first order.", func() float64 {
		return float64(r.state.EvacuationVersion())
	})
	gauge("entry_links", "Linked entry instances.", func() float64 { return float64(len(r.feed.conns)) })
	reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "boragepost", Subsystem: "control", Name: "disk_failing", Help: "1 while the log cannot be written."},
		func() float64 {
			if r.retrier.Failing() {
				return 1
			}
			return 0
		}))
	gauge("link_sent_bytes", "Payload bytes sent on links.", func() float64 { return float64(r.meter.Sent.Load()) })
	gauge("link_received_bytes", "Payload bytes received on links.", func() float64 {
		return float64(r.meter.Received.Load())
	})
	return reg
}
