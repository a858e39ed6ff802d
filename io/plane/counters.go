package plane

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"boragepost/core/quorum"
	"boragepost/io/metric"
)

// counters are the metrics of a control replica. docs/OPERATIONS.md says what
// each holds.
type counters struct {
	set             *metric.Set
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
	set := metric.New("plane")
	c := &counters{
		set:             set,
		offers:          set.LabeledCounter("offers_total", "Configurations offered, by outcome.", "outcome"),
		reads:           set.LabeledCounter("reads_total", "Reads of the newest configuration, by outcome.", "outcome"),
		announcements:   set.LabeledCounter("announcements_total", "Announcements of backend servers, by outcome.", "outcome"),
		elections:       set.Counter("leader_changes_total", "Changes of leader or term."),
		offerSeconds:    set.Histogram("offer_seconds", "Time to the acknowledgement of a configuration.", callBuckets),
		readSeconds:     set.Histogram("read_seconds", "Time to the proof of a read.", callBuckets),
		announceSeconds: set.Histogram("announce_seconds", "Time to the answer to an announcement.", callBuckets),
		syncSeconds:     set.Histogram("sync_seconds", "Time to make the log's output durable.", callBuckets),
	}
	c.addGauges(r)
	return c
}

// The outcomes of calls, as labels.
const (
	confirmed   = "confirmed"
	unconfirmed = "unconfirmed"
	refused     = "refused" // the call was invalid, and was not carried out
)

// outcome is the label of a call that was carried out.
func outcome(err error) string {
	if err != nil {
		return unconfirmed
	}
	return confirmed
}

// CountRefusedProposal counts a configuration that was refused because it is invalid.
func (r *Replica) CountRefusedProposal() { r.counters.offers.WithLabelValues(refused).Inc() }

// CountRefusedAnnouncement counts an announcement that was refused because it names no
// backend server that can be used.
func (r *Replica) CountRefusedAnnouncement() { r.counters.announcements.WithLabelValues(refused).Inc() }

func (c *counters) addGauges(r *Replica) {
	looped := func(f func() float64) func() float64 {
		return func() (v float64) {
			r.read(r.ctx, func() { v = f() })
			return v
		}
	}
	c.set.GaugeFunc("term", "Current term.", looped(func() float64 { return float64(r.node.Term()) }))
	c.set.GaugeFunc("commit_index", "Highest committed log index.", looped(func() float64 { return float64(r.node.Commit()) }))
	c.set.GaugeFunc("voters", "Voting replicas.", looped(func() float64 { return float64(len(r.node.Voters())) }))
	c.set.BoolGaugeFunc("is_leader", "1 while this replica leads.", func() (leads bool) {
		r.read(r.ctx, func() { leads = r.node.Role() == quorum.Leader })
		return leads
	})
	c.set.BoolGaugeFunc("in_contact", "1 while this replica leads with a quorum or hears a leader.", r.InContact)
	c.set.GaugeFunc("configuration_version", "Version in force; 0 before the first.", func() float64 {
		return float64(r.Current().Version)
	})
	c.set.GaugeFunc("servers_known", "Backend servers known, gone ones included.", func() float64 {
		return float64(len(r.Servers()))
	})
	c.set.GaugeFunc("instances_linked", "Entry instances that are linked.", func() float64 {
		return float64(r.registry.hub.SubscriberCount())
	})
	c.set.GaugeFunc("link_bytes", "Payload bytes on links, both ways.", func() float64 { return float64(r.meter.Total()) })
}

// Metrics serves the replica's metrics as text.
func (r *Replica) Metrics() http.Handler { return r.counters.set.Handler() }
