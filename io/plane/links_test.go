package plane_test

import (
	"context"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragepost/core/quorum"
	"boragepost/io/links"
	"boragepost/io/proto"
)

// Links to replicas that were replaced used to be kept for good. After some thirty
// replacements a replica had no link left for a new one, which could not join.
var _ = Describe("links to replaced replicas", func() {
	It("give way to links to new replicas", func() {
		s := newCluster(3)
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		for _, r := range s.replicas {
			links.NewClient(ctx, s.addressOf(r).String(), proto.PlanePath, links.Options[proto.ToPlane, proto.ToPlane]{
				Heartbeat: proto.LinkHeartbeat,
				Opened: func(c *links.Conn[proto.ToPlane, proto.ToPlane]) {
					for i := range 40 {
						c.Send(proto.ToPlane{Join: quorum.MakeID(fmt.Sprintf("127.0.0.2:%d", 20000+i), "disk")})
					}
				},
			})
		}
		Eventually(s.any().Voters, timeout).Should(HaveLen(3))
		r := s.start(freeAddress(), false)
		Eventually(r.Voters, timeout).Should(ContainElement(r.ID()))
	})
})
