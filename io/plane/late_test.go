package plane_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragepost/core/roster"
	"boragepost/io/links"
	"boragepost/io/plane"
	"boragepost/io/proto"
)

// maxLateID is above the number of requests that a replica makes in a test.
const maxLateID = 64

// sendLate sends messages to a replica over a link of its own, again and again until
// the test ends.
func (s *cluster) sendLate(r *plane.Replica, messages func(id uint64) []proto.ToPlane) {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	links.NewClient(ctx, s.addressOf(r).String(), proto.PlanePath, links.Options[proto.ToPlane, proto.ToPlane]{
		Heartbeat: proto.LinkHeartbeat,
		Opened: func(c *links.Conn[proto.ToPlane, proto.ToPlane]) {
			go func() {
				for ctx.Err() == nil {
					for id := range uint64(maxLateID) {
						for _, m := range messages(id) {
							c.Send(m)
						}
					}
					time.Sleep(20 * time.Millisecond)
				}
			}()
		},
	})
}

// A replica numbers its requests. The answer to a request of its earlier process, sent
// late by a replica that was paused or waited for its disk, must not count for a
// request of the present one.
var _ = Describe("late answers to an earlier process of a replica", func() {
	It("confirm no read", func() {
		s := newCluster(3)
		propose(s.any(), 4)
		for _, a := range s.seeds {
			s.stop(a)
		}
		r := s.start(s.seeds[0], false)
		s.sendLate(r, func(id uint64) []proto.ToPlane {
			return []proto.ToPlane{{ReadIndexResponse: &proto.ReadIndexResponse{ID: id}}}
		})
		_, err := r.ReadLatest(withTimeout(2 * time.Second))
		Expect(err).To(MatchError(plane.ErrNoQuorum))
	})

	It("acknowledge no departure of a backend server", func() {
		s := newCluster(3)
		propose(s.any(), 4)
		s.stop(s.seeds[0])
		r := s.start(s.seeds[0], false)
		var others []string
		Eventually(r.InContact, timeout).Should(BeTrue())
		for _, id := range r.Voters() {
			if id != r.ID() {
				others = append(others, id)
			}
		}
		for _, a := range s.seeds[1:] {
			s.full[a].Store(true) // so that they cannot acknowledge it themselves
		}
		s.sendLate(r, func(id uint64) (out []proto.ToPlane) {
			for _, by := range others {
				out = append(out, proto.ToPlane{RosterAck: &proto.RosterAck{By: by, Serial: id}})
			}
			return out
		})
		Expect(r.Announce(withTimeout(time.Second), server(1, 1).WithPhase(roster.Gone))).To(MatchError(plane.ErrNoQuorum))
	})
})
