package plane_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragepost/core/config"
	"boragepost/core/quorum"
	"boragepost/core/roster"
	"boragepost/io/links"
	"boragepost/io/logs"
	"boragepost/io/plane"
	"boragepost/io/proto"
)

func TestPlane(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "plane")
}

// site is a few replicas on loopback addresses.
type site struct {
	seeds    []netip.AddrPort
	dirs     map[netip.AddrPort]string
	replicas map[netip.AddrPort]*plane.Replica
}

func freeAddress() netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func newSite(founders int) *site {
	s := &site{dirs: map[netip.AddrPort]string{}, replicas: map[netip.AddrPort]*plane.Replica{}}
	for range founders {
		s.seeds = append(s.seeds, freeAddress())
	}
	for _, a := range s.seeds {
		s.start(a, true)
	}
	DeferCleanup(func() {
		for _, r := range s.replicas {
			r.Close()
		}
	})
	for _, r := range s.replicas {
		// Until it has heard from a leader a replica confirms nothing.
		Eventually(r.InContact, patience).Should(BeTrue())
	}
	return s
}

func (s *site) start(a netip.AddrPort, found bool) *plane.Replica {
	if s.dirs[a] == "" {
		s.dirs[a] = GinkgoT().TempDir()
	}
	r, err := plane.Start(context.Background(), plane.Config{
		Listen: a, Seeds: s.seeds, Bootstrap: found, Data: s.dirs[a], FaultTolerance: 1,
		VoterTimeout: time.Second, ServerTimeout: time.Second, Log: logs.Discard(),
	})
	Expect(err).NotTo(HaveOccurred())
	s.replicas[a] = r
	return r
}

func (s *site) stop(a netip.AddrPort) {
	Expect(s.replicas[a].Close()).To(Succeed())
	delete(s.replicas, a)
}

// wipe removes the data folder of a replica that is stopped.
func (s *site) wipe(a netip.AddrPort) {
	Expect(os.RemoveAll(s.dirs[a])).To(Succeed())
	delete(s.dirs, a)
}

func (s *site) any() *plane.Replica {
	for _, r := range s.replicas {
		return r
	}
	return nil
}

func version(v uint64) config.Configuration {
	return config.New(config.Configuration{
		Version: v, Services: []string{"yard"}, Document: fmt.Appendf(nil, "version %d", v),
		Routes: []config.Route{{
			Address: netip.MustParseAddrPort("192.0.2.1:443"), Timeout: time.Second,
			Split: []config.WeightedService{{Service: "yard", Weight: 1}}}},
	})
}

func server(id, sequence uint64) roster.Server {
	return roster.Server{
		ID: id, Incarnation: 5, Sequence: sequence, Service: "yard", Zone: "a", Slots: 2,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 80),
	}
}

// within returns a context for one call.
func within(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	DeferCleanup(cancel)
	return ctx
}

const patience = 10 * time.Second

// offer offers a version until it is acknowledged.
func offer(r *plane.Replica, v uint64) {
	GinkgoHelper()
	Expect(r.Propose(within(patience), version(v))).To(Succeed())
}

func newest(r *plane.Replica) uint64 {
	GinkgoHelper()
	c, err := r.ReadLatest(within(patience))
	Expect(err).NotTo(HaveOccurred())
	return c.Version
}

var _ = Describe("control replicas", func() {
	It("take a configuration at any replica and read it back at every other", func() {
		s := newSite(3)
		offer(s.replicas[s.seeds[1]], 4)
		for _, a := range s.seeds {
			Expect(newest(s.replicas[a])).To(Equal(uint64(4)))
		}
	})

	It("acknowledge what is sent again, old, or numbered alike, and change nothing", func() {
		s := newSite(3)
		offer(s.any(), 4)
		other := version(4)
		other.Document = []byte("something else")
		for _, c := range []config.Configuration{version(4), version(3), other} {
			Expect(s.any().Propose(within(patience), c)).To(Succeed())
			held, err := s.any().ReadLatest(within(patience))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(held.Document)).To(Equal("version 4"))
		}
	})

	It("let one of two racing configurations of one version win everywhere", func() {
		s := newSite(3)
		offer(s.any(), 1)
		for v := uint64(2); v < 12; v++ {
			done := make(chan error, 2)
			for i := range 2 {
				c := version(v)
				c.Document = fmt.Appendf(nil, "writer %d", i)
				go func() { done <- s.replicas[s.seeds[i]].Propose(within(patience), c) }()
			}
			Expect(<-done).To(Succeed())
			Expect(<-done).To(Succeed())
			texts := map[string]bool{}
			for _, r := range s.replicas {
				held, err := r.ReadLatest(within(patience))
				Expect(err).NotTo(HaveOccurred())
				texts[string(held.Document)] = true
			}
			Expect(texts).To(HaveLen(1))
		}
	})

	It("neither accept nor prove anything without a quorum", func() {
		s := newSite(3)
		offer(s.any(), 4)
		s.stop(s.seeds[0])
		s.stop(s.seeds[1])
		Eventually(func() error {
			_, err := s.any().ReadLatest(within(300 * time.Millisecond))
			return err
		}, patience).Should(MatchError(plane.ErrNoQuorum))
		Expect(s.any().Propose(within(300*time.Millisecond), version(5))).To(MatchError(plane.ErrNoQuorum))
		Eventually(func() error {
			return s.any().Announce(within(time.Second), server(1, 1))
		}, patience).Should(MatchError(plane.ErrNoQuorum))
	})

	It("keep what was acknowledged when all stop and one loses its disk", func() {
		s := newSite(3)
		offer(s.any(), 4)
		for _, a := range s.seeds {
			s.stop(a)
		}
		s.wipe(s.seeds[2])
		for _, a := range s.seeds {
			s.start(a, false)
		}
		for _, a := range s.seeds {
			Expect(newest(s.replicas[a])).To(Equal(uint64(4)))
		}
		offer(s.replicas[s.seeds[2]], 5)
	})

	It("survive the loss of each disk in turn, each replaced before the next", func() {
		s := newSite(3)
		for i, a := range s.seeds {
			offer(s.any(), uint64(10+i))
			s.stop(a)
			s.wipe(a)
			r := s.start(a, false)
			Expect(newest(r)).To(Equal(uint64(10 + i)))
			Eventually(r.Voters, patience).Should(ContainElement(r.ID()))
			Eventually(r.Voters, patience).Should(HaveLen(3))
		}
	})

	It("replace a replica that is gone for good by one at another address", func() {
		s := newSite(3)
		offer(s.any(), 4)
		for range 3 {
			s.stop(s.seeds[0])
			next := freeAddress()
			r := s.start(next, false)
			Eventually(r.Voters, patience).Should(ContainElement(r.ID()))
			Eventually(r.Voters, patience).Should(HaveLen(3))
			s.seeds = append(s.seeds[1:], next)
		}
		Expect(newest(s.any())).To(Equal(uint64(4)))
		offer(s.any(), 5)
	})

	It("grow to all replicas that start, though only three are named", func() {
		s := newSite(3)
		for range 3 {
			s.start(freeAddress(), false)
		}
		Eventually(func() int { return len(s.any().Voters()) }, patience).Should(Equal(6))
		offer(s.any(), 4)
		s.stop(s.seeds[0])
		s.stop(s.seeds[1])
		offer(s.any(), 5)
	})

	It("admit a replica that knows the seeds alone, when none of them leads", func() {
		s := newSite(3)
		for range 3 {
			s.start(freeAddress(), false)
		}
		Eventually(func() int { return len(s.any().Voters()) }, patience).Should(Equal(6))
		for _, a := range s.seeds {
			s.stop(a) // the last three are no quorum, so two come back
			if a != s.seeds[2] {
				continue
			}
			s.start(s.seeds[1], false)
		}
		others := func() bool {
			leader := s.replicas[s.seeds[1]].Leader()
			return leader != "" && !slices.Contains(s.seeds, netip.MustParseAddrPort(quorum.AddressOf(leader)))
		}
		if !others() {
			Eventually(func() bool {
				if s.replicas[s.seeds[1]].Leader() == s.replicas[s.seeds[1]].ID() {
					s.stop(s.seeds[1])
					time.Sleep(time.Second)
					s.start(s.seeds[1], false)
				}
				return others()
			}, "20s", "500ms").Should(BeTrue())
		}
		offer(s.any(), 4)
		s.wipe(s.seeds[0])
		r := s.start(s.seeds[0], false)
		Eventually(r.Voters, patience).Should(ContainElement(r.ID()))
	})

	It("tell each other of backend servers, also without a quorum", func() {
		s := newSite(3)
		offer(s.any(), 1)
		Expect(s.replicas[s.seeds[0]].Announce(within(time.Second), server(1, 1))).To(Succeed())
		Eventually(s.replicas[s.seeds[1]].Servers, patience).Should(HaveLen(1))
		s.stop(s.seeds[2])
		s.stop(s.seeds[1])
		r := s.replicas[s.seeds[0]]
		Eventually(r.InContact, patience).Should(BeFalse())
		Expect(r.Announce(within(time.Second), server(2, 1))).To(MatchError(plane.ErrNoQuorum))
		Expect(r.Servers()).To(HaveLen(2))
	})

	It("acknowledge a leaving backend server when a majority knows it", func() {
		s := newSite(3)
		offer(s.any(), 1)
		r := s.replicas[s.seeds[0]]
		Expect(r.Announce(within(time.Second), server(1, 1))).To(Succeed())
		Expect(r.Announce(within(time.Second), server(1, 2).WithPhase(roster.Draining))).To(Succeed())
		knowing := 0
		for _, a := range s.seeds {
			for _, b := range s.replicas[a].Servers() {
				if b.Phase == roster.Draining {
					knowing++
				}
			}
		}
		Expect(knowing).To(BeNumerically(">=", 2))
		Expect(r.Deregister(within(time.Second), 1, 5)).To(Succeed())
		Expect(r.Servers()[0].Phase).To(Equal(roster.Gone))
		Expect(r.Deregister(within(time.Second), 99, 0)).To(Succeed(), "not known")
	})

	It("mark a silent backend server, and remember all over a restart", func() {
		s := newSite(3)
		offer(s.any(), 1)
		a := s.seeds[0]
		Expect(s.replicas[a].Announce(within(time.Second), server(1, 1))).To(Succeed())
		Eventually(func() bool { return s.replicas[a].Servers()[0].Silent }, patience).Should(BeTrue())
		time.Sleep(1500 * time.Millisecond) // the copy is written once a second
		s.stop(a)
		Expect(s.start(a, false).Servers()).To(HaveLen(1))
	})

	It("feed entry instances that start anew before there is a leader", func() {
		s := newSite(3)
		offer(s.any(), 4)
		time.Sleep(1500 * time.Millisecond) // the checkpoint is written once a second
		for _, a := range s.seeds {
			s.stop(a)
		}
		alone := s.start(s.seeds[0], false)
		updates := make(chan proto.Update, 100)
		links.NewClient(within(time.Minute), s.seeds[0].String(), proto.RelayPath, links.Options[proto.ToFeed, proto.Update]{
			Heartbeat: proto.LinkHeartbeat,
			Opened: func(c *links.Conn[proto.ToFeed, proto.Update]) {
				c.Send(proto.ToFeed{Subscribe: &proto.Subscribe{Instance: "e"}})
			},
			Received: func(m proto.Update) { updates <- m },
		})
		var first proto.Update
		Eventually(updates, patience).Should(Receive(&first))
		Expect(first.Config).NotTo(BeNil())
		Expect(first.Config.ToVersion).To(Equal(uint64(4)))
		Expect(*first.Contact).To(BeFalse())
		_, err := alone.ReadLatest(within(300 * time.Millisecond))
		Expect(err).To(MatchError(plane.ErrNoQuorum), "a checkpoint proves nothing")
	})

	It("feed entry instances with the whole first and then with changes", func() {
		s := newSite(3)
		offer(s.any(), 1)
		updates := make(chan proto.Update, 100)
		links.NewClient(within(time.Minute), s.seeds[0].String(), proto.RelayPath, links.Options[proto.ToFeed, proto.Update]{
			Heartbeat: proto.LinkHeartbeat,
			Opened: func(c *links.Conn[proto.ToFeed, proto.Update]) {
				c.Send(proto.ToFeed{Subscribe: &proto.Subscribe{Instance: "e"}})
			},
			Received: func(m proto.Update) { updates <- m },
		})
		held := config.Configuration{}
		follow := func() uint64 {
			for {
				select {
				case m := <-updates:
					if m.Config != nil {
						next, err := held.WithDelta(*m.Config)
						Expect(err).NotTo(HaveOccurred())
						held = next
					}
				default:
					return held.Version
				}
			}
		}
		Eventually(follow, patience).Should(Equal(uint64(1)))
		for v := uint64(2); v < 6; v++ {
			offer(s.any(), v)
		}
		Eventually(follow, patience).Should(Equal(uint64(5)))
		Expect(held.Routes).To(HaveLen(1))
	})
})
