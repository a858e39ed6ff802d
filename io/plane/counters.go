package plane

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"boragepost/core/quorum"
	"boragepost/io/metric"
)

// counters are the metrics of a control replica, which docs/OPERATIONS.md
// describes.
type counters struct {
	set             *metric.Set
	proposals       *prometheus.CounterVec
	reads           *prometheus.CounterVec
	announcements   *prometheus.CounterVec
	evacuations     *prometheus.CounterVec
	evacuated       *metric.LabelSet
	leaderChanges   prometheus.Counter
	departures      *prometheus.CounterVec
	coldGrants      prometheus.Counter
	proposeSeconds  prometheus.Histogram
	evacuateSeconds prometheus.Histogram
	readSeconds     prometheus.Histogram
	announceSeconds prometheus.Histogram
	syncSeconds     prometheus.Histogram
}

// callBuckets are in seconds and range from one sync of a fast disk to the timeout
// of callers.
var callBuckets = []float64{.0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2}

func newCounters(r *Replica) *counters {
	set := metric.New("plane")
	c := &counters{
		set:             set,
		proposals:       set.LabeledCounter("offers_total", "Configurations offered, by outcome.", "outcome"),
		reads:           set.LabeledCounter("reads_total", "Reads of the newest configuration, by outcome.", "outcome"),
		announcements:   set.LabeledCounter("announcements_total", "Announcements of backend servers, by outcome.", "outcome"),
		evacuations:     set.LabeledCounter("evacuations_total", "Evacuation orders, by outcome.", "outcome"),
		evacuated:       set.LabelSet("zone_evacuated", "1 while the zone is evacuated.", "zone"),
		evacuateSeconds: set.Histogram("evacuate_seconds", "Time to the acknowledgement of an evacuation order.", callBuckets),
		leaderChanges:   set.Counter("leader_changes_total", "Changes of leader or term."),
		departures:      set.LabeledCounter("departures_total", "Writes of departures to disk, by outcome.", "outcome"),
		coldGrants:      set.Counter("cold_grants_total", "Grants for cold backend servers made here, as the leader."),
		proposeSeconds:  set.Histogram("offer_seconds", "Time to the acknowledgement of a configuration.", callBuckets),
		readSeconds:     set.Histogram("read_seconds", "Time to the proof of a read.", callBuckets),
		announceSeconds: set.Histogram("announce_seconds", "Time to the answer to an announcement.", callBuckets),
		syncSeconds:     set.Histogram("sync_seconds", "Time to make the log's output durable.", callBuckets),
	}
	c.addGauges(r)
	return c
}

// Values of the label outcome.
const (
	confirmed   = "confirmed"
	unconfirmed = "unconfirmed"
	refused     = "refused" // the call was invalid or ambiguous and had no effect
)

// outcome returns the label of a valid call.
func outcome(err error) string {
	if err != nil {
		return unconfirmed
	}
	return confirmed
}

// CountRefusedProposal counts a proposed configuration that was rejected as invalid.
func (r *Replica) CountRefusedProposal() { r.counters.proposals.WithLabelValues(refused).Inc() }

// CountRefusedAnnouncement counts an announcement or deregistration that was rejected.
func (r *Replica) CountRefusedAnnouncement() { r.counters.announcements.WithLabelValues(refused).Inc() }

func (c *counters) addGauges(r *Replica) {
	onLoop := func(f func() float64) func() float64 {
		return func() (v float64) {
			r.runOnLoop(r.ctx, func() { v = f() })
			return v
		}
	}
	c.set.GaugeFunc("term", "Current term.", onLoop(func() float64 { return float64(r.node.Term()) }))
	c.set.GaugeFunc("commit_index", "Highest committed log index.", onLoop(func() float64 { return float64(r.node.Commit()) }))
	c.set.GaugeFunc("voters", "Voting replicas.", onLoop(func() float64 { return float64(len(r.node.Voters())) }))
	c.set.BoolGaugeFunc("is_leader", "1 while this replica leads.", func() (leads bool) {
		r.runOnLoop(r.ctx, func() { leads = r.node.Role() == quorum.Leader })
		return leads
	})
	c.set.BoolGaugeFunc("in_contact", "1 while this replica leads with a quorum or hears a leader.", r.InContact)
	c.set.GaugeFunc("configuration_version", "Version in force; 0 before the first.", func() float64 {
		return float64(r.Current().Version)
	})
	c.set.GaugeFunc("evacuation_revision", "Revision of the evacuated zones; 0 before the first order.", func() float64 {
		return float64(r.Evacuations().Revision)
	})
	c.set.GaugeFunc("servers_known", "Backend servers known, gone ones included.", func() float64 {
		return float64(len(r.Servers()))
	})
	c.set.GaugeFunc("instances_linked", "Entry instances that are linked.", func() float64 {
		return float64(r.registry.hub.SubscriberCount())
	})
	c.set.GaugeFunc("link_bytes", "Payload bytes on links, both ways.", func() float64 { return float64(r.meter.Total()) })
}

// Metrics serves the replica's metrics in the Prometheus text format.
func (r *Replica) Metrics() http.Handler { return r.counters.set.Handler() }
