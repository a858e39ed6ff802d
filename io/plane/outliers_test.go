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

// follower is an entry instance that only hears what replicas tell it.
type follower struct {
	client    *links.Client[proto.ToFeed, proto.Update]
	ejections chan load.Ejection
}

func follow(replica netip.AddrPort) *follower {
	f := &follower{ejections: make(chan load.Ejection, 100)}
	opened := make(chan bool, 1)
	f.client = links.NewClient(within(time.Minute), replica.String(), proto.RelayPath,
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
	Eventually(opened, patience).Should(Receive())
	return f
}

// announceMany announces backend servers, of which the seventh is going to fail.
func announceMany(s *site) {
	r := s.any()
	for id := range uint64(20) {
		Expect(r.Announce(within(time.Second), server(id+1, 1))).To(Succeed())
	}
	for _, other := range s.replicas {
		Eventually(other.Servers, patience).Should(HaveLen(20))
	}
}

var _ = Describe("short answers", func() {
	It("that instances of all replicas have seen are judged together, and all hear of it", func() {
		s := newSite(3)
		offer(s.any(), 1)
		announceMany(s)
		var followers []*follower
		for _, a := range s.seeds {
			followers = append(followers, follow(a))
		}
		for _, f := range followers {
			// No replica alone hears of enough.
			f.client.Send(proto.ToFeed{Failures: []load.Failures{{ID: 7, Count: 1}}})
			f.client.Send(proto.ToFeed{Failures: []load.Failures{{ID: 7, Count: 1}}})
		}
		for _, f := range followers {
			Eventually(f.ejections, patience).Should(Receive(HaveField("ID", uint64(7))))
		}
	})

	It("are judged without a quorum too", func() {
		s := newSite(3)
		offer(s.any(), 1)
		announceMany(s)
		s.stop(s.seeds[0])
		s.stop(s.seeds[1])
		r := s.replicas[s.seeds[2]]
		Eventually(r.InContact, patience).Should(BeFalse())
		f := follow(s.seeds[2])
		Eventually(func() bool {
			f.client.Send(proto.ToFeed{Failures: []load.Failures{{ID: 7, Count: 5}}})
			return len(f.ejections) > 0
		}, patience, "100ms").Should(BeTrue())
	})
})
