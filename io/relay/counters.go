package relay

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"boragepost/core/roster"
	"boragepost/io/links"
	"boragepost/io/metric"
)

// counters are the metrics of an entry instance, which docs/OPERATIONS.md
// describes.
type counters struct {
	set             *metric.Set
	forwarded       prometheus.Counter
	placed          prometheus.Counter
	retransmitted   prometheus.Counter
	held            prometheus.Counter
	malformed       prometheus.Counter
	receiveErrors   prometheus.Counter
	sendErrors      prometheus.Counter
	sourceChanges   prometheus.Counter
	coldOpenings    prometheus.Counter
	coldRejected    prometheus.Counter
	resets          *prometheus.CounterVec
	dropped         *prometheus.CounterVec
	evacuated       *metric.LabelSet
	holdSeconds     prometheus.Histogram
	responseSeconds prometheus.Histogram
	queueSeconds    [linkKinds]prometheus.Histogram
	uploadsAdmitted prometheus.Counter
	uploadsRefused  prometheus.Counter
	leavingShare    *prometheus.GaugeVec
	leavingGain     *prometheus.GaugeVec
	leftZone        *prometheus.CounterVec
	meter           links.Meter
}

// latencyBuckets are in seconds and range from a fast response to the longest
// deadline of a caller.
var latencyBuckets = []float64{.005, .01, .02, .05, .1, .2, .5, 1, 2, 5}

func newCounters(r *Relay) *counters {
	set := metric.New("relay")
	c := &counters{
		set:           set,
		forwarded:     set.Counter("packets_forwarded_total", "Packets sent to backend servers."),
		placed:        set.Counter("flows_placed_total", "Opening packets given to a backend server, without copies."),
		retransmitted: set.Counter("openings_repeated_total", "Copies of opening packets that had no answer."),
		held:          set.Counter("packets_held_total", "Packets held until the instance has learned where they go."),
		malformed:     set.Counter("packets_malformed_total", "Datagrams that are no packet."),
		receiveErrors: set.Counter("receive_errors_total", "Failed reads of datagrams."),
		sendErrors:    set.Counter("send_errors_total", "Failed writes of datagrams."),
		sourceChanges: set.Counter("source_changes_total", "Changes of the control replica that updates come from."),
		coldOpenings:  set.Counter("cold_openings_total", "Opening packets sent to cold backend servers whose service has a limit."),
		coldRejected:  set.Counter("cold_openings_rejected_total", "Opening packets reset because a limit for cold backend servers left none."),
		resets:        set.LabeledCounter("resets_total", "Resets sent to callers, by reason.", "reason"),
		dropped:       set.LabeledCounter("packets_dropped_total", "Packets that were dropped, by reason.", "reason"),
		evacuated:     set.LabelSet("zone_evacuated", "1 while the zone is evacuated.", "zone"),
		holdSeconds:   set.Histogram("hold_seconds", "How long held packets waited for a decision.", latencyBuckets),
		responseSeconds: set.Histogram("answer_seconds",
			"Time from a request to the caller's acknowledgement of answer data.", latencyBuckets),
	}
	c.uploadsAdmitted = set.Counter("uploads_admitted_total", "Uploads whose opening packet was admitted to the link.")
	c.uploadsRefused = set.Counter("uploads_refused_total", "Uploads refused because the link could not carry them in time.")
	for k := range linkKinds {
		c.queueSeconds[k] = set.Histogram("link_queue_seconds_"+k.String(),
			"How long packets of this kind waited for the link, without those that did not wait.", latencyBuckets)
	}
	c.leavingShare = set.LabeledGauge("leaving_share",
		"Fraction of new flows that leave the availability zone because requests wait there, by service and reason.", "service", "reason")
	c.leavingGain = set.LabeledGauge("leaving_gain_seconds",
		"By how much requests wait longer in the availability zone than elsewhere, less the price of their bytes, by service.", "service")
	c.leftZone = set.LabeledCounter("flows_left_zone_total", "New flows that left the availability zone, by service.", "service")
	c.addGauges(r)
	return c
}

func (c *counters) addGauges(r *Relay) {
	locked := func(f func() float64) func() float64 {
		return func() float64 {
			r.mu.Lock()
			defer r.mu.Unlock()
			return f()
		}
	}
	c.set.GaugeFunc("configuration_version", "Version in force; 0 before the first.", locked(func() float64 {
		current, _ := r.balancer.Config()
		return float64(current.Version)
	}))
	c.set.GaugeFunc("evacuation_revision", "Revision of the evacuated zones; 0 before the first set.", locked(func() float64 {
		return float64(r.balancer.Evacuations().Revision)
	}))
	c.set.GaugeFunc("flows_tracked", "Flows of which the load is tracked.", locked(func() float64 {
		return float64(r.balancer.Load.Flows())
	}))
	for _, phase := range []roster.Phase{roster.Ready, roster.Draining, roster.Gone} {
		c.set.GaugeFunc("servers_"+phase.String(), "Backend servers known in this phase.", locked(func() float64 {
			return float64(r.balancer.Count(phase))
		}))
	}
	for k := range linkKinds {
		c.set.GaugeFunc("link_queue_bytes_"+k.String(), "Bytes of this kind that wait for the link.", locked(func() float64 {
			return float64(r.link.queuedBytes(k))
		}))
	}
	c.set.GaugeFunc("uploads_open", "Uploads that are expected to send more.", locked(func() float64 {
		return float64(r.link.openUploads())
	}))
	c.set.GaugeFunc("link_utilization", "Share of the link's usable capacity that was sent in the last second.",
		locked(r.link.utilization))
	c.set.GaugeFunc("cold_grants_held", "Grants for cold backend servers that have not ended.", locked(func() float64 {
		return float64(r.balancer.HeldGrants(r.now()))
	}))
	c.set.GaugeFunc("replicas_linked", "Control replicas that are linked.", func() float64 { return float64(r.upstream.linkedReplicas()) })
	c.set.BoolGaugeFunc("ready", "1 while the instance wants new flows.", r.Ready)
	c.set.GaugeFunc("link_bytes", "Payload bytes on links to control replicas, both ways.", func() float64 {
		return float64(c.meter.Total())
	})
}

// Metrics serves the instance's metrics in the Prometheus text format.
func (r *Relay) Metrics() http.Handler { return r.counters.set.Handler() }
