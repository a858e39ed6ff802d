package plane_test

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragepost/core/quorum"
	"boragepost/core/roster"
	"boragepost/io/plane"
)

// fullTime is longer than the voter timeout of the tests.
const fullTime = 1500 * time.Millisecond

// leaderAddress returns the address of the leader that most replicas follow.
func (s *cluster) leaderAddress() netip.AddrPort {
	GinkgoHelper()
	leader := ""
	Eventually(func() string {
		for a, r := range s.replicas {
			if !s.full[a].Load() && r.InContact() {
				leader = r.Leader()
			}
		}
		return leader
	}, timeout).ShouldNot(BeEmpty())
	return netip.MustParseAddrPort(quorum.AddressOf(leader))
}

// fill fills the disk of a replica for fullTime, while configurations are proposed to
// the others and a backend server leaves. It returns the next version.
func (s *cluster) fill(a netip.AddrPort, v uint64) uint64 {
	GinkgoHelper()
	s.full[a].Store(true)
	announce(s.other(a), server(v, 1))
	for start := time.Now(); time.Since(start) < fullTime; v++ {
		propose(s.other(a), v)
		time.Sleep(100 * time.Millisecond)
	}
	announce(s.other(a), server(v, 2).WithPhase(roster.Draining))
	s.full[a].Store(false)
	return v
}

// other returns a replica at another address.
func (s *cluster) other(a netip.AddrPort) (r *plane.Replica) {
	for b, candidate := range s.replicas {
		if b != a {
			r = candidate
		}
	}
	return r
}

// expectAllAccept checks that all replicas vote and accept changes, from version v on.
func (s *cluster) expectAllAccept(v uint64) {
	GinkgoHelper()
	for _, r := range s.replicas {
		Eventually(r.Voters, timeout).Should(HaveLen(len(s.replicas)))
		Expect(r.Propose(withTimeout(2*time.Second), version(v))).To(Succeed())
		announce(r, server(500+v, 1).WithPhase(roster.Gone))
		v++
	}
	for _, r := range s.replicas {
		Expect(readVersion(r)).To(Equal(v - 1))
	}
}

// Operators of other systems saw changes stay refused long after the disks of all
// replicas had room again.
var _ = Describe("disks that are full one after another", func() {
	It("leave three replicas that accept changes, whoever leads", func() {
		s := newCluster(3)
		v := uint64(1)
		for _, a := range s.seeds {
			v = s.fill(a, v)
		}
		for range 3 {
			v = s.fill(s.leaderAddress(), v)
		}
		s.expectAllAccept(v)
	})

	It("leave four replicas that accept changes, one of which was no voter meanwhile", func() {
		s := newCluster(3)
		r := s.start(freeAddress(), false)
		Eventually(r.Voters, timeout).Should(HaveLen(4))
		v := uint64(1)
		for a := range s.replicas {
			v = s.fill(a, v)
		}
		for range 3 {
			v = s.fill(s.leaderAddress(), v)
		}
		s.expectAllAccept(v)
	})

	It("leave replicas that accept changes when a disk is full during a snapshot", func() {
		s := newCluster(3)
		v := uint64(1)
		for _, a := range s.seeds {
			for range 200 { // three times 200 proposals take each replica past snapshotEntries
				propose(s.any(), v)
				v++
			}
			v = s.fill(a, v)
		}
		s.expectAllAccept(v)
	})
})
