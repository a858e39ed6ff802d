package plane_test

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragepost/core/load"
	"boragepost/io/links"
	"boragepost/io/proto"
)

// subscriber is a fake entry instance that only receives updates from a replica.
type subscriber struct {
	client    *links.Client[proto.ToFeed, proto.Update]
	ejections chan load.Ejection
}

func subscribe(replica netip.AddrPort) *subscriber {
	f := &subscriber{ejections: make(chan load.Ejection, 100)}
	opened := make(chan bool, 1)
	f.client = links.NewClient(withTimeout(time.Minute), replica.String(), proto.RelayPath,
		links.Options[proto.ToFeed, proto.Update]{
			Heartbeat: proto.LinkHeartbeat,
			Opened: func(c *links.Conn[proto.ToFeed, proto.Update]) {
				c.Send(proto.ToFeed{Subscribe: &proto.Subscribe{Instance: "e"}})
				opened <- true
			},
			Received: func(m proto.Update) {
				for _, v := range m.Ejections {
					f.ejections <- v
				}
			},
		})
	Eventually(opened, timeout).Should(Receive())
	return f
}

// announceMany announces 20 backend servers, of which the tests report number 7 as
// failing.
func announceMany(s *cluster) {
	r := s.any()
	for id := range uint64(20) {
		Expect(r.Announce(withTimeout(time.Second), server(id+1, 1))).To(Succeed())
	}
	for _, other := range s.replicas {
		Eventually(other.Servers, timeout).Should(HaveLen(20))
	}
}

var _ = Describe("request failures", func() {
	It("reported to several replicas are counted together and eject the backend server everywhere", func() {
		s := newCluster(3)
		propose(s.any(), 1)
		announceMany(s)
		var subscribers []*subscriber
		for _, a := range s.seeds {
			subscribers = append(subscribers, subscribe(a))
		}
		for _, f := range subscribers {
			// The reports to one replica alone do not suffice for an ejection.
			f.client.Send(proto.ToFeed{Failures: []load.Failures{{ID: 7, Count: 1}}})
			f.client.Send(proto.ToFeed{Failures: []load.Failures{{ID: 7, Count: 1}}})
		}
		for _, f := range subscribers {
			Eventually(f.ejections, timeout).Should(Receive(HaveField("ID", uint64(7))))
		}
	})

	It("eject a backend server without a quorum as well", func() {
		s := newCluster(3)
		propose(s.any(), 1)
		announceMany(s)
		s.stop(s.seeds[0])
		s.stop(s.seeds[1])
		r := s.replicas[s.seeds[2]]
		Eventually(r.InContact, timeout).Should(BeFalse())
		f := subscribe(s.seeds[2])
		Eventually(func() bool {
			f.client.Send(proto.ToFeed{Failures: []load.Failures{{ID: 7, Count: 5}}})
			return len(f.ejections) > 0
		}, timeout, "100ms").Should(BeTrue())
	})
})
