package plane_test

import (
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragepost/core/roster"
	"boragepost/io/plane"
	"boragepost/io/store"
)

// phases returns the phases of a replica's backend servers by identifier.
func phases(r *plane.Replica) map[uint64]roster.Phase {
	out := map[uint64]roster.Phase{}
	for _, s := range r.Servers() {
		out[s.ID] = s.Phase
	}
	return out
}

// A backend server that has left must not take flows after a restart of the replicas.
// The checkpoint is saved once a second, so replicas that stopped within that second
// used to restore the backend server as ready.
var _ = Describe("departures of backend servers", func() {
	leaving := map[uint64]roster.Phase{1: roster.Draining, 2: roster.Gone, 3: roster.Ready}

	// depart lets backend servers 1 and 2 leave, acknowledged by the first replica.
	depart := func(s *cluster) {
		propose(s.any(), 1)
		first := s.replicas[s.seeds[0]]
		for id := uint64(1); id <= 3; id++ {
			announce(first, server(id, 1))
		}
		time.Sleep(1500 * time.Millisecond) // a checkpoint holds all three as ready
		announce(first, server(1, 2).WithPhase(roster.Draining))
		announce(first, server(2, 2).WithPhase(roster.Draining))
		Eventually(func() error {
			return first.Deregister(withTimeout(time.Second), roster.Deregistration{ID: 2, Incarnation: 5})
		}, timeout).Should(Succeed())
	}

	It("survive a restart of all replicas right after the acknowledgement", func() {
		s := newCluster(3)
		depart(s)
		for _, a := range s.seeds {
			s.stop(a)
		}
		for _, a := range s.seeds {
			s.start(a, false)
		}
		for _, a := range s.seeds {
			Eventually(func() map[uint64]roster.Phase { return phases(s.replicas[a]) }, timeout).Should(Equal(leaving))
		}
	})

	It("survive the loss of a disk and a restart of the others", func() {
		s := newCluster(3)
		depart(s)
		for _, a := range s.seeds {
			s.stop(a)
		}
		s.wipe(s.seeds[0]) // the replica that has acknowledged them
		for _, a := range s.seeds {
			s.start(a, false)
		}
		for _, a := range s.seeds {
			Eventually(func() map[uint64]roster.Phase { return phases(s.replicas[a]) }, timeout).Should(Equal(leaving))
		}
	})

	It("survive a checkpoint that cannot be read", func() {
		s := newCluster(1)
		a := s.seeds[0]
		s.stop(a)
		disk, _, err := store.Open(s.dirs[a])
		Expect(err).NotTo(HaveOccurred())
		Expect(disk.SaveDepartures([]roster.Server{server(2, 3).WithPhase(roster.Gone)})).To(Succeed())
		Expect(disk.Close()).To(Succeed())
		Expect(os.WriteFile(filepath.Join(s.dirs[a], "checkpoint"), []byte("damaged"), 0o600)).To(Succeed())
		Expect(phases(s.start(a, false))).To(Equal(map[uint64]roster.Phase{2: roster.Gone}))
	})

	It("survive in the checkpoint that replaces the journal", func() {
		s := newCluster(3)
		depart(s)
		journal := func() int64 {
			info, err := os.Stat(filepath.Join(s.dirs[s.seeds[0]], "departures"))
			Expect(err).NotTo(HaveOccurred())
			return info.Size()
		}
		Eventually(journal, timeout).Should(BeZero())
		s.stop(s.seeds[0])
		Expect(phases(s.start(s.seeds[0], false))).To(Equal(leaving))
	})

	It("are not acknowledged by a replica that is no voter", func() {
		s := newCluster(3)
		propose(s.any(), 1)
		announce(s.replicas[s.seeds[0]], server(1, 1))
		s.stop(s.seeds[1])
		s.stop(s.seeds[2])
		outsider := s.start(freeAddress(), false) // cannot become a voter without a quorum
		Eventually(outsider.Servers, timeout).Should(HaveLen(1))
		err := s.replicas[s.seeds[0]].Announce(withTimeout(time.Second), server(1, 2).WithPhase(roster.Draining))
		Expect(err).To(MatchError(plane.ErrNoQuorum))
	})
})
