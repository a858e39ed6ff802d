package plane

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"boragepost/core/quorum"
)

// counters are the metrics of a control replica. docs/OPERATIONS.md says what
// each holds.
type counters struct {
	registry        *prometheus.Registry
	offers          *prometheus.CounterVec
	reads           *prometheus.CounterVec
	announcements   *prometheus.CounterVec
	elections       prometheus.Counter
	offerSeconds    prometheus.Histogram
	readSeconds     prometheus.Histogram
	announceSeconds prometheus.Histogram
	syncSeconds     prometheus.Histogram
}

// callBuckets are in seconds, from one sync of a fast disk to the time after
// which callers have gone.
var callBuckets = []float64{.0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2}

func newCounters(r *Replica) *counters {
	c := &counters{registry: prometheus.NewRegistry()}
	c.registry.MustRegister(collectors.NewGoCollector())
	byOutcome := func(name, help string) *prometheus.CounterVec {
		m := prometheus.NewCounterVec(options(name, help), []string{"outcome"})
		c.registry.MustRegister(m)
		return m
	}
	histogram := func(name, help string) prometheus.Histogram {
		m := prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "boragepost", Subsystem: "plane", Name: name, Help: help, Buckets: callBuckets})
		c.registry.MustRegister(m)
		return m
	}
	c.offers = byOutcome("offers_total", "Configurations offered, by outcome.")
	c.reads = byOutcome("reads_total", "Reads of the newest configuration, by outcome.")
	c.announcements = byOutcome("announcements_total", "Announcements of backend servers, by outcome.")
	c.elections = prometheus.NewCounter(options("leader_changes_total", "Changes of leader or term."))
	c.registry.MustRegister(c.elections)
	c.offerSeconds = histogram("offer_seconds", "Time to the acknowledgement of a configuration.")
	c.readSeconds = histogram("read_seconds", "Time to the proof of a read.")
	c.announceSeconds = histogram("announce_seconds", "Time to the answer to an announcement.")
	c.syncSeconds = histogram("sync_seconds", "Time to make the log's output durable.")
	c.gauges(r)
	return c
}

func options(name, help string) prometheus.CounterOpts {
	return prometheus.CounterOpts{Namespace: "boragepost", Subsystem: "plane", Name: name, Help: help}
}

// outcome is the label of a call's outcome.
func outcome(err error) string {
	if err != nil {
		return "unconfirmed"
	}
	return "confirmed"
}

func (c *counters) gauges(r *Replica) {
	gauge := func(name, help string, value func() float64) {
		c.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts(options(name, help)), value))
	}
	looped := func(f func() float64) func() float64 {
		return func() (v float64) {
			r.read(r.ctx, func() { v = f() })
			return v
		}
	}
	gauge("term", "Current term.", looped(func() float64 { return float64(r.node.Term()) }))
	gauge("commit_index", "Highest committed log index.", looped(func() float64 { return float64(r.node.Commit()) }))
	gauge("voters", "Voting replicas.", looped(func() float64 { return float64(len(r.node.Peers())) }))
	gauge("is_leader", "1 while this replica leads.", looped(func() float64 {
		if r.node.Role() == quorum.Leader {
			return 1
		}
		return 0
	}))
	gauge("in_contact", "1 while this replica leads with a quorum or hears a leader.", func() float64 {
		if r.InContact() {
			return 1
		}
		return 0
	})
	gauge("configuration_version", "Version in force; 0 before the first.", func() float64 {
		return float64(r.Current().Version)
	})
	gauge("servers_known", "Backend servers known, gone ones included.", func() float64 {
		return float64(len(r.Servers()))
	})
	gauge("instances_linked", "Entry instances that are linked.", func() float64 { return float64(r.registry.hub.Linked()) })
	gauge("link_bytes", "Payload bytes on links, both ways.", func() float64 { return float64(r.meter.Total()) })
}

// Metrics serves the replica's metrics as text.
func (r *Replica) Metrics() http.Handler {
	return promhttp.HandlerFor(r.counters.registry, promhttp.HandlerOpts{})
}
