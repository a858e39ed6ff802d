package sizing

import (
	"fmt"
	"io"
	"net/netip"
	"runtime"
	"time"

	"github.com/fxamacker/cbor/v2"

	"boragepost/core/agent"
	"boragepost/core/flow"
	"boragepost/core/leader"
	"boragepost/core/model"
	"boragepost/core/shard"
	"boragepost/core/state"
	"boragepost/core/table"
	"boragepost/io/proto"
)

// Names of the measured slopes.
const (
	StateBytes       = "stateBytes"
	MovedBucketBytes = "movedBucketBytes"
	SnapshotBytes    = "snapshotBytes"
	AnnounceTime     = "announceMicros"
	ViewTime         = "refreshMicros"
	FlowBytes        = "flowBytes"
	DecideTime       = "decideNanos"
	MembersTime      = "setMembersMicros"
	LeaderTime       = "leaderTickMicros"
	SyncBytes        = "gatherBytes"
	HeartbeatBytes   = "messageBytes"
)

// probe measures one quantity at one size.
type probe struct {
	name, xUnit, unit string
	sizes             []int
	measure           func(size int) float64
}

// serversPerService is the mean number of backend servers of a service at the
// target size: 110,000 behind 35,000 addresses.
const serversPerService = 3

var probes = []probe{
	{StateBytes, "backend servers", "bytes of heap", []int{1500, 3000, 6000, 12000}, measureState},
	{MovedBucketBytes, "moved buckets", "bytes of heap", []int{8500, 17_000, 34_000, 68_000}, measureMovedBuckets},
	{SnapshotBytes, "backend servers", "bytes", []int{1500, 3000, 6000, 12000}, measureSnapshot},
	{AnnounceTime, "backend servers", "µs a command", []int{1500, 3000, 6000, 12000}, measureAnnounce},
	{ViewTime, "backend servers", "µs a change", []int{1500, 3000, 6000, 12000}, measureView},
	{FlowBytes, "flows", "bytes of heap", []int{100_000, 200_000, 400_000, 800_000}, measureFlows},
	{DecideTime, "flows", "ns a packet", []int{100_000, 200_000, 400_000, 800_000}, measureDecide},
	{MembersTime, "entry instances", "µs a change", []int{250, 500, 1000, 2000}, measureMembers},
	{LeaderTime, "entry instances", "µs a tick", []int{250, 500, 1000, 2000}, measureLeader},
	{SyncBytes, "records", "bytes", []int{100, 1000, 10_000}, measureSync},
	{HeartbeatBytes, "heartbeats", "bytes both ways", []int{1, 10, 100}, measureHeartbeats},
}

// Measure runs all probes. It takes about half a minute.
func Measure(progress io.Writer) Slopes {
	out := Slopes{}
	for _, p := range probes {
		s := Slope{Name: p.name, XUnit: p.xUnit, Unit: p.unit}
		for _, size := range p.sizes {
			s.Points = append(s.Points, Point{X: float64(size), Y: p.measure(size)})
		}
		out[p.name] = s.fit()
		fmt.Fprintf(progress, "%-18s %12.4g %s for each of %s, spread %.0f%%\n",
			p.name, out[p.name].PerUnit, p.unit, p.xUnit, 100*out[p.name].MaxRelativeError)
	}
	return out
}

// heapOf returns the heap size of the value that build returns, in bytes.
func heapOf(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	result := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(result)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// timeOf calls f repeatedly for the given duration and returns the mean time of a
// call.
func timeOf(duration time.Duration, f func(i int)) time.Duration {
	start := time.Now()
	n := 0
	for time.Since(start) < duration {
		f(n)
		n++
	}
	return time.Since(start) / time.Duration(n)
}

const probeDuration = 300 * time.Millisecond

func micros(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }

// sampleServer returns the i-th backend server of a large deployment.
func sampleServer(i int) model.BackendServer {
	addr := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
	return model.BackendServer{
		Name: fmt.Sprintf("server-%d", i), Service: serviceName(i / serversPerService), Zone: fmt.Sprintf("zone-%d", i%3),
		Packets: netip.AddrPortFrom(addr, 7000), HTTP: netip.AddrPortFrom(addr, 8000),
		Slots: 2, Weight: 1, Incarnation: 1,
	}
}

func serviceName(i int) string { return fmt.Sprintf("service-%d", i) }

// sampleState returns a state with the given number of backend servers.
func sampleState(servers int) *state.State {
	s := state.New()
	index := uint64(0)
	apply := func(c model.Command) {
		index++
		s.Apply(index, c)
	}
	services := servers / serversPerService
	putService := func(i int, zones ...string) {
		addr := netip.AddrFrom4([4]byte{192, byte(i >> 16), byte(i >> 8), byte(i)})
		apply(model.Command{PutService: &model.PutService{Force: true, Service: model.Service{
			Name: serviceName(i), Address: netip.AddrPortFrom(addr, 443), Zones: zones,
			IdleTimeout: model.Duration(time.Minute), DrainTimeout: model.Duration(time.Hour),
		}}})
	}
	for i := range services {
		putService(i, "none")
	}
	for i := range services * serversPerService {
		apply(model.Command{Announce: &model.Announce{Server: sampleServer(i)}})
	}
	// The services allow the zones of their backend servers only after all of
	// these are announced, so that no bucket has moved.
	for i := range services {
		putService(i)
	}
	return s
}

// measureMovedBuckets returns the heap size of the buckets that move when one
// backend server of each service drains.
func measureMovedBuckets(buckets int) float64 {
	services := buckets / (table.Size(serversPerService) / serversPerService)
	s := sampleState(services * serversPerService)
	return heapOf(func() any {
		for i := range services {
			drain := &model.Drain{Service: serviceName(i), Name: fmt.Sprintf("server-%d", i*serversPerService)}
			s.Apply(s.Index()+1, model.Command{Drain: drain})
		}
		return s
	})
}

func measureState(servers int) float64 {
	return heapOf(func() any {
		s := sampleState(servers)
		data, err := s.RoutingSnapshot()
		if err != nil {
			panic(err)
		}
		s, err = state.RestoreRoutingSnapshot(data)
		if err != nil {
			panic(err)
		}
		return []any{s, flow.NewView(s)}
	})
}

func measureSnapshot(servers int) float64 {
	data, err := sampleState(servers).RoutingSnapshot()
	if err != nil {
		panic(err)
	}
	return float64(len(data))
}

func measureAnnounce(servers int) float64 {
	s := sampleState(servers)
	index := s.Index()
	return micros(timeOf(probeDuration, func(i int) {
		b := sampleServer(i % servers)
		b.Incarnation = uint64(i + 2)
		index++
		s.Apply(index, model.Command{Announce: &model.Announce{Server: b}})
	}))
}

func measureView(servers int) float64 {
	s := sampleState(servers)
	b := flow.NewBalancer(flow.Limits{})
	return micros(timeOf(probeDuration, func(int) { b.Apply(flow.NewView(s)) }))
}

// sampleBalancer returns a balancer for one service that tracks established flows.
func sampleBalancer(flows int) *flow.Balancer {
	s := sampleState(serversPerService)
	b := flow.NewBalancer(flow.Limits{MaxFlows: 2 * flows})
	b.Apply(flow.NewView(s))
	b.RenewLease(int64(time.Hour))
	b.MarkFetched(serviceName(0), s.Index())
	for i := range flows {
		h := sampleHeader(i)
		b.Decide(1, h)
		h.Start = false
		b.Decide(2, h)
	}
	return b
}

func sampleHeader(i int) flow.Header {
	addr := netip.AddrFrom4([4]byte{100, byte(i >> 16), byte(i >> 8), byte(i)})
	return flow.Header{
		Source: netip.AddrPortFrom(addr, 40000), Protocol: flow.TCP, Start: true,
		Dest: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 0, 0}), 443),
	}
}

func measureFlows(flows int) float64 {
	return heapOf(func() any { return sampleBalancer(flows) })
}

// measureDecide decides on packets of the flows in an order without locality. Each
// header is constructed before its decision, as by the packet parser.
func measureDecide(flows int) float64 {
	b := sampleBalancer(flows)
	const batch = 1000
	flowIndex := 0
	perBatch := timeOf(probeDuration, func(int) {
		for range batch {
			h := sampleHeader(flowIndex)
			h.Start = false
			b.Decide(3, h)
			flowIndex = (flowIndex + 7919) % flows
		}
	})
	return float64(perBatch.Nanoseconds()) / batch
}

func members(n int) []shard.Member {
	out := make([]shard.Member, n)
	for i := range out {
		out[i] = shard.Member{ID: model.InstanceID(fmt.Sprintf("entry-%d", i)), Joined: 1}
	}
	return out
}

func sampleStore() *shard.Store[flow.Key, flow.Record] {
	return shard.New(shard.Config[flow.Key, flow.Record]{
		Self: "entry-0", ShardOf: flow.ShardOf,
		Decide: func(_ flow.Key, query, _ flow.Record, _ bool) (flow.Record, bool) { return query, true },
	})
}

func measureMembers(n int) float64 {
	s := sampleStore()
	all := members(n)
	return micros(timeOf(probeDuration, func(i int) {
		all[n-1].Joined = uint64(i + 2)
		s.SetMembers(uint64(i+1), all)
	}))
}

func measureLeader(n int) float64 {
	s := sampleState(serversPerService)
	reconciler := leader.New(leader.Timing{}, 0)
	for i := range n {
		in := sampleInstance(i)
		s.Apply(s.Index()+1, model.Command{Join: &model.Join{Instance: in}})
	}
	return micros(timeOf(probeDuration, func(i int) {
		now := time.Duration(i) * time.Millisecond
		for k := range n {
			reconciler.Heartbeat(now, leader.Heartbeat{Instance: sampleInstance(k)}, s)
		}
		reconciler.Tick(now, int64(i), s)
	}))
}

func sampleInstance(i int) model.Instance {
	addr := netip.AddrFrom4([4]byte{10, 200, byte(i >> 8), byte(i)})
	return model.Instance{
		ID: model.InstanceID(fmt.Sprintf("entry-%d", i)), Zone: fmt.Sprintf("zone-%d", i%3),
		Peer: netip.AddrPortFrom(addr, 9000), Gateway: netip.AddrPortFrom(addr, 8000), Incarnation: 1,
	}
}

func encodedSize(v any) float64 {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return float64(len(data))
}

func measureSync(records int) float64 {
	response := &shard.SyncResponse[flow.Key, flow.Record]{Version: 1 << 20}
	for i := range records {
		response.Records = append(response.Records, shard.Record[flow.Key, flow.Record]{
			Key: sampleHeader(i).Key(), Value: flow.Record{Route: 1 << 30, Server: 1 << 20}})
	}
	return encodedSize(proto.ToPeer{From: "entry-1", Agent: &agent.Message{Flow: &shard.Message[flow.Key, flow.Record]{SyncResponse: response}}})
}

func measureHeartbeats(n int) float64 {
	total := 0.0
	for i := range n {
		total += encodedSize(proto.ToControl{Heartbeat: &proto.Heartbeat{Seq: uint64(i) + 1<<20, Heartbeat: leader.Heartbeat{
			Instance: sampleInstance(i), Prepared: 1 << 24, Fetched: 1 << 24, Applied: 1 << 24}}})
		total += encodedSize(proto.ToEntry{Grant: &proto.Grant{Seq: uint64(i) + 1<<20, Commit: 1 << 24, LeaseMs: 2000}})
	}
	return total
}
