package flow_test

import (
	"flag"
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragepost/core/flow"
	"boragepost/core/model"
	"boragepost/core/state"
)

// The seed is fixed so that every run checks the same histories; a flag overrides
// it.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
}

func TestFlow(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "flow")
}

const second = int64(time.Second)

var (
	yard = netip.MustParseAddrPort("192.0.2.1:443")
	stud = netip.MustParseAddrPort("192.0.2.2:443")
)

func putService(s *state.State, name string, address netip.AddrPort) {
	s.Apply(s.Index()+1, model.Command{PutService: &model.PutService{Force: true, Service: model.Service{
		Name: name, Address: address, IdleTimeout: model.Duration(time.Minute)}}})
}

func announce(s *state.State, service, name string, packets netip.AddrPort, atMs int64) model.Result {
	return s.Apply(s.Index()+1, model.Command{Time: atMs, Announce: &model.Announce{Server: model.BackendServer{
		Service: service, Name: name, Packets: packets, HTTP: packets, Slots: 1, Incarnation: 1}}})
}

func server(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
}

func header(i int) flow.Header {
	addr := netip.AddrFrom4([4]byte{100, byte(i >> 16), byte(i >> 8), byte(i)})
	return flow.Header{Source: netip.AddrPortFrom(addr, 4000), Dest: yard, Protocol: flow.TCP}
}

func openingHeader(i int) flow.Header {
	h := header(i)
	h.Start = true
	return h
}

// newBalancer returns a balancer with a lease of one minute and one backend server.
func newBalancer(limits flow.Limits) (*state.State, *flow.Balancer) {
	s := state.New()
	putService(s, "yard", yard)
	announce(s, "yard", "y1", server(1), 0)
	b := flow.NewBalancer(limits)
	b.Apply(flow.NewView(s))
	b.RenewLease(60 * second)
	return s, b
}

var _ = Describe("a balancer", func() {
	It("drops new flows without a lease unless it is in autonomous mode", func() {
		_, b := newBalancer(flow.Limits{})
		v := b.Decide(61*second, openingHeader(1))
		Expect(v.Reason).To(Equal(flow.NoLease))
		b.SetAutonomous(true)
		Expect(b.Decide(61*second, openingHeader(1)).Action).To(Equal(flow.Forward))
	})

	It("drops packets to an unverified address after the grace period", func() {
		s, b := newBalancer(flow.Limits{})
		b.Decide(1, openingHeader(1))
		old := s.Servers()[0]
		Expect(b.Decide(69*second, header(1)).Target).To(Equal(old.Packets))
		Expect(b.Decide(71*second, header(1)).Reason).To(Equal(flow.Unverified))
		b.SetVerified(map[model.ServerID]int64{old.ID: 70 * second})
		Expect(b.Decide(71*second, header(1)).Target).To(Equal(old.Packets))
	})

	It("stops using an address before its quarantine ends", func() {
		s, b := newBalancer(flow.Limits{})
		putService(s, "stud", stud)
		b.Decide(1, openingHeader(1))
		id := s.Servers()[0].ID
		remove := model.Command{Time: 1000, RemoveServers: &model.RemoveServers{IDs: []model.ServerID{id}}}
		s.Apply(s.Index()+1, remove)
		quarantine := state.Quarantine.Milliseconds()
		Expect(announce(s, "stud", "s1", server(1), 1000+quarantine-1).Failure).NotTo(BeNil())
		Expect(announce(s, "stud", "s1", server(1), 1000+quarantine).Failure).To(BeNil())
		// The balancer has not applied these commands. Its lease ended no later
		// than the removal, so the quarantine has passed for it too.
		lease := 60 * second
		Expect(b.Decide(lease+int64(state.Quarantine), header(1)).Action).To(Equal(flow.Drop))
		b.SetAutonomous(true)
		Expect(b.Decide(lease+int64(state.Quarantine), openingHeader(2)).Action).To(Equal(flow.Drop))
	})

	It("keeps established flows during a flood of opening packets", func() {
		s, b := newBalancer(flow.Limits{MaxFlows: 1 << 16, MaxHalfOpen: 1 << 12})
		const established, flood = 1000, 1_000_000
		for i := range established {
			b.Decide(1, openingHeader(i))
			b.Decide(2, header(i))
		}
		announce(s, "yard", "y2", server(2), 0)
		for i := range flood {
			b.Decide(3, openingHeader(established+i))
		}
		gotEstablished, halfOpen := b.Flows()
		Expect(gotEstablished).To(Equal(established))
		Expect(halfOpen).To(BeNumerically("<=", 1<<12))
		b.Apply(flow.NewView(s))
		for i := range established {
			Expect(b.Decide(4, header(i)).Target).To(Equal(server(1)))
		}
	})

	It("does not allocate for a tracked flow", func() {
		_, b := newBalancer(flow.Limits{})
		b.Decide(1, openingHeader(1))
		h := header(1)
		Expect(testing.AllocsPerRun(1000, func() { b.Decide(2, h) })).To(BeZero())
	})
})

func BenchmarkDecide(b *testing.B) {
	for _, flows := range []int{1000, 300_000} {
		b.Run(fmt.Sprint(flows), func(b *testing.B) {
			_, balancer := newBalancer(flow.Limits{MaxFlows: 2 * flows})
			headers := make([]flow.Header, flows)
			for i := range headers {
				balancer.Decide(1, openingHeader(i))
				headers[i] = header(i)
				balancer.Decide(2, headers[i])
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				balancer.Decide(2, headers[i%flows])
			}
		})
	}
}
