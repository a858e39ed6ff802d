package sizing

import (
	"fmt"
	"math"
	"strings"
)

// Size is the size of a deployment.
type Size struct {
	Instances, Servers, Addresses int
	Flows, NewFlows               float64 // open, and new per second
	Regions, Zones                int
	ChangesPerDay                 float64
	RestartsPerDay                float64 // restarts and failures of instances
	ControlInstances              int
	// PacketsPerMinute and IdleMinutes describe a typical flow. They determine
	// how many instances receive its packets before it expires.
	PacketsPerMinute, IdleMinutes float64
}

// Target is the design target.
var Target = Size{
	Instances: 19_000, Servers: 110_000, Addresses: 35_000,
	Flows: 150e6, NewFlows: 1e6, Regions: 9, Zones: 28,
	ChangesPerDay: 11_000, RestartsPerDay: 7_800 + 270, ControlInstances: 29,
	PacketsPerMinute: 10, IdleMinutes: 5,
}

// Budget of an instance for control.
const (
	BudgetCPU     = 0.026 // fraction of a core
	BudgetMemory  = 64e6  // bytes
	BudgetTraffic = 5e3   // bytes per second
	BudgetDelay   = 7.0   // seconds
)

const (
	secondsPerDay       = 86_400
	heartbeatsPerSecond = 2
	ticksPerSecond      = 20
	replicasPerRegion   = 3    // of each region's log
	gcFactor            = 2    // heap size relative to the live heap, with the default GOGC
	commandBytes        = 200  // size of one change with all fields set
	heartbeatCPUMicros  = 15.0 // CPU time for sending a heartbeat and handling its grant
	leaseSeconds        = 2.25
	heartbeatSeconds    = 1.0 / heartbeatsPerSecond
	hopSeconds          = 0.1 // time to commit, feed and apply a command
	// movedFraction is the fraction of buckets that are being moved or have
	// pinned flows.
	movedFraction = 0.1
	// bucketsPerServer is the number of buckets per backend server in a service
	// with three of them.
	bucketsPerServer = 256.0 / 3
)

// Status is the implementation status of a row's mechanism.
type Status string

// Values of Status.
const (
	Implemented Status = "runs today"
	Designed    Status = "designed"
	Open        Status = "open"
)

// Row is one line of the capacity table.
type Row struct {
	Role, Quantity string
	Value          float64
	Unit           string
	Budget         float64 // 0 for none
	Mechanism      string
	Package        string
	Status         Status
}

// Margin returns the budget divided by the value.
func (r Row) Margin() float64 { return r.Budget / math.Max(r.Value, 1e-9) }

// Plan computes the rows for a size. It plans per region, because the instances of
// a region share one log, one set of bucket tables and one set of shards.
func Plan(size Size, slopes Slopes) []Row {
	p := planner{size: size, slopes: slopes}
	regions := float64(size.Regions)
	p.instances, p.servers = float64(size.Instances)/regions, float64(size.Servers)/regions
	p.flows = size.Flows / regions
	p.changes = (size.ChangesPerDay + 2*size.RestartsPerDay) / regions / secondsPerDay
	var rows []Row
	rows = append(rows, p.entryRows()...)
	rows = append(rows, p.controlRows()...)
	return append(rows, p.eventRows()...)
}

type planner struct {
	size                               Size
	slopes                             Slopes
	instances, servers, flows, changes float64
}

// trackedFlows returns the number of flows that one entry instance tracks. A flow
// reaches as many instances as it sends packets within its idle time.
func (p planner) trackedFlows() float64 {
	receivers := math.Min(p.size.PacketsPerMinute*p.size.IdleMinutes, p.instances)
	return p.flows * receivers / p.instances
}

func (p planner) entryRows() []Row {
	const role = "entry instance"
	state := gcFactor * p.slopes[StateBytes].At(p.servers)
	movedBytes := gcFactor * p.slopes[MovedBucketBytes].At(p.servers*bucketsPerServer*movedFraction)
	heartbeats := heartbeatsPerSecond * p.slopes[HeartbeatBytes].At(1)
	changeCPU := p.slopes[AnnounceTime].At(p.servers) + p.slopes[ViewTime].At(p.servers) + 2*p.slopes[MembersTime].At(p.instances)
	cpu := (p.changes*changeCPU + heartbeatsPerSecond*heartbeatCPUMicros) / 1e6
	return []Row{
		{role, "replicated state in memory", state, "B", BudgetMemory,
			"every instance of a region holds the region's services, backend servers and bucket tables", "core/state", Implemented},
		{role, "moves and pinned flows in a tenth of the buckets", movedBytes, "B", BudgetMemory,
			"stored only for buckets that moved away from a live backend server", "core/table", Implemented},
		{role, "flow table (packet path, not control)", gcFactor * p.slopes[FlowBytes].At(p.trackedFlows()), "B", 0,
			fmt.Sprintf("tracks the %.0f flows whose packets it receives; bounded, and never needed for a stable bucket", p.trackedFlows()),
			"core/flow", Implemented},
		{role, "heartbeats", heartbeats, "B/s", BudgetTraffic, "one link to a control replica, two heartbeats a second", "io/entry", Implemented},
		{role, "configuration", p.changes * commandBytes, "B/s", BudgetTraffic,
			"instances receive commands and compute the tables from them", "core/state", Implemented},
		{role, "control processor time", cpu, "core", BudgetCPU, "apply, compile the view, place shards", "core/flow", Implemented},
		{role, "decision on a packet", p.slopes[DecideTime].At(p.trackedFlows()), "ns", 0, "hash, stripe, table", "core/flow", Implemented},
	}
}

func (p planner) controlRows() []Row {
	const role = "control replica"
	links := p.instances / replicasPerRegion
	leaderCPU := ticksPerSecond*p.slopes[LeaderTime].At(p.instances)/1e6 + heartbeatsPerSecond*p.instances*heartbeatCPUMicros/1e6
	return []Row{
		{role, "instances set aside", float64(replicasPerRegion * p.size.Regions), "instances", float64(p.size.ControlInstances),
			"one log of three replicas a region", "core/quorum", Designed},
		{role, "links", links, "links", 0, "instances spread over their region's replicas", "io/ctrl", Implemented},
		{role, "leader: heartbeats in", heartbeatsPerSecond * p.instances, "1/s", 0,
			"followers pass heartbeats on one by one; to be batched by each follower", "io/ctrl", Designed},
		{role, "leader: processor time", leaderCPU, "core", 1, "a replica is an instance set aside", "core/leader", Implemented},
		{role, "one change to all links", links * commandBytes, "B", 0, "each replica sends changes on its own links", "io/ctrl", Implemented},
		{role, "snapshot", p.slopes[SnapshotBytes].At(p.servers), "B", 0, "sent to an instance that starts without state", "core/state", Implemented},
	}
}

func (p planner) eventRows() []Row {
	restarts := p.size.RestartsPerDay / float64(p.size.Regions) / secondsPerDay
	snapshot := p.slopes[SnapshotBytes].At(p.servers)
	instancesPerZone := p.instances / (float64(p.size.Zones) / float64(p.size.Regions))
	return []Row{
		{"region", "change in force, all instances healthy", 2*hopSeconds + heartbeatSeconds, "s", BudgetDelay,
			"the change is sent to the instances, whose next heartbeats confirm the preparation", "core/leader", Implemented},
		{"region", "change in force, an instance just lost", 2*hopSeconds + heartbeatSeconds + leaseSeconds, "s", BudgetDelay,
			"the preparation waits for the lost instance's lease to end", "core/leader", Implemented},
		{"region", "snapshots after restarts", restarts * snapshot, "B/s", 0,
			"each restart takes one snapshot from a replica", "io/ctrl", Implemented},
		{"region", "snapshots after the loss of a zone", instancesPerZone * snapshot, "B", 0,
			"divided among the replicas by the instances' links; not rate-limited yet", "io/ctrl", Open},
		{"region", "requests of one shard sync", p.instances, "messages", 0,
			"a new shard replica sends one to every instance; to go through one relay a zone", "core/shard", Designed},
		{"region", "links for the shards of an instance", 2 * 64, "links", 0,
			"today every instance links to every other; at this size links open on demand", "io/entry", Open},
		{"region", "renewals of backend servers", p.servers, "1/s", 0,
			"batched by the instance that received them; at this size instances monitor their share of the backend servers and send only changes", "io/entry", Open},
		{"fleet", "regions cut off from each other", 0, "", 0,
			"each region's log accepts its own changes; one log for changes of all regions", "core/quorum", Open},
	}
}

// Markdown returns the slopes and the rows as tables.
func Markdown(rows []Row, slopes Slopes) string {
	var b strings.Builder
	b.WriteString("| measured | for each of | slope | at zero | sizes | spread |\n|---|---|---|---|---|---|\n")
	for _, p := range probes {
		slope := slopes[p.name]
		fmt.Fprintf(&b, "| `%s` | %s | %s %s | %s | %s | %.0f%% |\n", slope.Name, slope.XUnit, formatSI(slope.PerUnit), slope.Unit,
			formatSI(slope.Intercept), formatSizes(slope), 100*slope.MaxRelativeError)
	}
	b.WriteString("\n| role | quantity | at the target | budget | margin | mechanism | package | state |\n" +
		"|---|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		budget, margin := "", ""
		if r.Budget > 0 {
			budget, margin = formatSI(r.Budget)+" "+r.Unit, fmt.Sprintf("%.1f×", r.Margin())
		}
		value := ""
		if r.Unit != "" {
			value = formatSI(r.Value) + " " + r.Unit
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | `%s` | %s |\n",
			r.Role, r.Quantity, value, budget, margin, r.Mechanism, r.Package, r.Status)
	}
	return b.String()
}

func formatSizes(s Slope) string {
	var out []string
	for _, p := range s.Points {
		out = append(out, formatSI(p.X))
	}
	return strings.Join(out, ", ")
}

// formatSI formats a number with three significant digits and a decimal prefix.
func formatSI(v float64) string {
	for _, u := range []struct {
		size float64
		name string
	}{{1e9, "G"}, {1e6, "M"}, {1e3, "k"}} {
		if math.Abs(v) >= u.size {
			return fmt.Sprintf("%.3g %s", v/u.size, u.name)
		}
	}
	return fmt.Sprintf("%.3g", v)
}
