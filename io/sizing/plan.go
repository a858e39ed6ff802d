package sizing

import (
	"fmt"
	"math"
	"strings"
)

// Size is the size of a deployment.
type Size struct {
	Nodes, Servers, Addresses int
	Flows, NewFlows           float64 // open, and new a second
	Regions, Zones            int
	ChangesPerDay             float64
	RestartsPerDay            float64 // restarts and failures of instances
	ControlInstances          int
	// PacketsPerMinute and IdleMinutes describe a typical flow; they say how
	// many instances see it before it would be forgotten.
	PacketsPerMinute, IdleMinutes float64
}

// Target is the size to design for.
var Target = Size{
	Nodes: 19_000, Servers: 110_000, Addresses: 35_000,
	Flows: 150e6, NewFlows: 1e6, Regions: 9, Zones: 28,
	ChangesPerDay: 11_000, RestartsPerDay: 7_800 + 270, ControlInstances: 29,
	PacketsPerMinute: 10, IdleMinutes: 5,
}

// Budget of an instance for control.
const (
	BudgetCPU     = 0.026 // of one core
	BudgetMemory  = 64e6  // of memory
	BudgetTraffic = 5e3   // bytes a second
	BudgetDelay   = 7.0   // seconds
)

const (
	secondsPerDay  = 86_400
	beatsPerSecond = 2
	ticksPerSecond = 20
	replicas       = 3    // of each region's log
	gcFactor       = 2    // of live heap, with the collector's default pace
	commandBytes   = 200  // of one change, all fields in use
	beatCPUMicros  = 15.0 // of sending a heartbeat and taking its grant
	leaseSeconds   = 2.25
	beatSeconds    = 1.0 / beatsPerSecond
	hopSeconds     = 0.1 // commit, feed and apply
	// movedShare is the share of buckets with a move under way or with
	// exceptions.
	movedShare = 0.1
	// bucketsPerServer is the number of buckets a backend server in a service
	// of three.
	bucketsPerServer = 256.0 / 3
)

// Status says how far the mechanism behind a row is.
type Status string

// The states of a mechanism.
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

// Plan works out the rows for a size. A region is the unit: its instances share
// one log, one set of bucket tables and one set of shards.
func Plan(z Size, s Slopes) []Row {
	p := planner{z: z, s: s}
	regions := float64(z.Regions)
	p.nodes, p.servers = float64(z.Nodes)/regions, float64(z.Servers)/regions
	p.flows = z.Flows / regions
	p.changes = (z.ChangesPerDay + 2*z.RestartsPerDay) / regions / secondsPerDay
	var rows []Row
	rows = append(rows, p.entry()...)
	rows = append(rows, p.control()...)
	return append(rows, p.events()...)
}

type planner struct {
	z                              Size
	s                              Slopes
	nodes, servers, flows, changes float64
}

// heldFlows returns the number of flows that one entry instance remembers. A
// flow is seen by as many instances as it sends packets in its idle time.
func (p planner) heldFlows() float64 {
	seenBy := math.Min(p.z.PacketsPerMinute*p.z.IdleMinutes, p.nodes)
	return p.flows * seenBy / p.nodes
}

func (p planner) entry() []Row {
	const role = "entry instance"
	state := gcFactor * p.s[StateBytes].At(p.servers)
	moved := gcFactor * p.s[MovedBucketBytes].At(p.servers*bucketsPerServer*movedShare)
	beats := beatsPerSecond * p.s[HeartbeatBytes].At(1)
	changeCPU := p.s[AnnounceTime].At(p.servers) + p.s[ViewTime].At(p.servers) + 2*p.s[MembersTime].At(p.nodes)
	core := (p.changes*changeCPU + beatsPerSecond*beatCPUMicros) / 1e6
	return []Row{
		{role, "replicated state in memory", state, "B", BudgetMemory,
			"every instance of a region holds the region's services, backend servers and bucket tables", "core/state", Implemented},
		{role, "moves and exceptions in a tenth of the buckets", moved, "B", BudgetMemory,
			"kept only for buckets that moved away from a living backend server", "core/table", Implemented},
		{role, "flow table (packet path, not control)", gcFactor * p.s[FlowBytes].At(p.heldFlows()), "B", 0,
			fmt.Sprintf("remembers the %.0f flows whose packets it sees; bounded, and never needed for a closed bucket", p.heldFlows()),
			"core/flow", Implemented},
		{role, "heartbeats", beats, "B/s", BudgetTraffic, "one link to a control replica, two heartbeats a second", "io/entry", Implemented},
		{role, "configuration", p.changes * commandBytes, "B/s", BudgetTraffic,
			"commands travel, tables are computed", "core/state", Implemented},
		{role, "control processor time", core, "core", BudgetCPU, "apply, compile the view, place shards", "core/flow", Implemented},
		{role, "decision on a packet", p.s[DecideTime].At(p.heldFlows()), "ns", 0, "hash, stripe, table", "core/flow", Implemented},
	}
}

func (p planner) control() []Row {
	const role = "control replica"
	links := p.nodes / replicas
	leaderCPU := ticksPerSecond*p.s[LeaderTime].At(p.nodes)/1e6 + beatsPerSecond*p.nodes*beatCPUMicros/1e6
	return []Row{
		{role, "instances set aside", float64(replicas * p.z.Regions), "instances", float64(p.z.ControlInstances),
			"one log of three replicas a region", "core/quorum", Designed},
		{role, "links", links, "links", 0, "instances spread over their region's replicas", "io/ctrl", Implemented},
		{role, "leader: heartbeats in", beatsPerSecond * p.nodes, "1/s", 0,
			"followers pass heartbeats on one by one; to be batched by each follower", "io/ctrl", Designed},
		{role, "leader: processor time", leaderCPU, "core", 1, "a replica is an instance set aside", "core/leader", Implemented},
		{role, "one change to all links", links * commandBytes, "B", 0, "each replica feeds its own links", "io/ctrl", Implemented},
		{role, "snapshot", p.s[SnapshotBytes].At(p.servers), "B", 0, "sent to an instance that starts without state", "core/state", Implemented},
	}
}

func (p planner) events() []Row {
	restarts := p.z.RestartsPerDay / float64(p.z.Regions) / secondsPerDay
	snapshot := p.s[SnapshotBytes].At(p.servers)
	zone := p.nodes / (float64(p.z.Zones) / float64(p.z.Regions))
	return []Row{
		{"region", "change in force, all instances well", 2*hopSeconds + beatSeconds, "s", BudgetDelay,
			"feed, then the next heartbeat confirms the preparation", "core/leader", Implemented},
		{"region", "change in force, an instance just lost", 2*hopSeconds + beatSeconds + leaseSeconds, "s", BudgetDelay,
			"the preparation waits for the lost instance's lease to end", "core/leader", Implemented},
		{"region", "snapshots after restarts", restarts * snapshot, "B/s", 0,
			"each restart takes one snapshot from a replica", "io/ctrl", Implemented},
		{"region", "snapshots after the loss of a zone", zone * snapshot, "B", 0,
			"spread by instances over the replicas; paced by none yet", "io/ctrl", Open},
		{"region", "questions of one gather", p.nodes, "messages", 0,
			"a new record keeper asks every instance; to go through one relay a zone", "core/shard", Designed},
		{"region", "links for the shards of an instance", 2 * 64, "links", 0,
			"today every instance links to every other; at this size links open on demand", "io/entry", Open},
		{"region", "renewals of backend servers", p.servers, "1/s", 0,
			"batched by the instance that took them; at this size instances watch their share and send changes only", "io/entry", Open},
		{"fleet", "regions cut off from each other", 0, "", 0,
			"each region's log accepts its own changes; one log for changes of all regions", "core/quorum", Open},
	}
}

// Markdown returns the slopes and the rows as tables.
func Markdown(rows []Row, s Slopes) string {
	var b strings.Builder
	b.WriteString("| measured | for each of | slope | at zero | sizes | spread |\n|---|---|---|---|---|---|\n")
	for _, p := range probes {
		m := s[p.name]
		fmt.Fprintf(&b, "| `%s` | %s | %s %s | %s | %s | %.0f%% |\n", m.Name, m.XUnit, short(m.PerUnit), m.Unit,
			short(m.Intercept), sizesOf(m), 100*m.MaxRelativeError)
	}
	b.WriteString("\n| role | quantity | at the target | budget | margin | mechanism | package | state |\n" +
		"|---|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		budget, margin := "", ""
		if r.Budget > 0 {
			budget, margin = short(r.Budget)+" "+r.Unit, fmt.Sprintf("%.1f×", r.Margin())
		}
		value := ""
		if r.Unit != "" {
			value = short(r.Value) + " " + r.Unit
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | `%s` | %s |\n",
			r.Role, r.Quantity, value, budget, margin, r.Mechanism, r.Package, r.Status)
	}
	return b.String()
}

func sizesOf(s Slope) string {
	var out []string
	for _, p := range s.Points {
		out = append(out, short(p.X))
	}
	return strings.Join(out, ", ")
}

// short formats a number with three significant digits and a decimal prefix.
func short(v float64) string {
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
