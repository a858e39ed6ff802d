package roster_test

import (
	"flag"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"boragepost/core/roster"
)

// The default seed is fixed, so that every run checks the same histories; the
// command line may set another.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
}

func TestRoster(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "roster")
}

func server(id, incarnation, sequence uint64) roster.Server {
	return roster.Server{
		ID: id, Incarnation: incarnation, Sequence: sequence, Service: "yard", Zone: "a", Slots: 2,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(id >> 8), byte(id)}), 80),
	}
}

var _ = Describe("a roster", func() {
	var r *roster.Roster
	BeforeEach(func() { r = &roster.Roster{} })

	phase := func(id uint64) roster.Phase {
		s, ok := r.Get(id)
		Expect(ok).To(BeTrue())
		return s.Phase
	}

	It("reports changes that affect placement, but no heartbeats", func() {
		Expect(r.RecordAnnouncement(0, server(1, 5, 1))).To(HaveLen(1))
		Expect(r.RecordAnnouncement(0, server(1, 5, 2))).To(BeEmpty())
		Expect(r.RecordAnnouncement(0, server(1, 5, 3).WithPhase(roster.Draining))).To(HaveLen(1))
	})

	It("ignores an announcement that arrives after a newer one", func() {
		r.RecordAnnouncement(0, server(1, 5, 4).WithPhase(roster.Draining))
		Expect(r.RecordAnnouncement(0, server(1, 5, 3))).To(BeEmpty())
		Expect(phase(1)).To(Equal(roster.Draining))
	})

	It("ignores a late announcement of a backend server that is gone", func() {
		r.RecordAnnouncement(0, server(1, 5, 4))
		r.RecordAnnouncement(0, server(1, 5, 4).WithPhase(roster.Gone))
		Expect(r.RecordAnnouncement(0, server(1, 5, 9))).To(BeEmpty())
		Expect(phase(1)).To(Equal(roster.Gone))
	})

	It("accepts a new start under the same identifier", func() {
		r.RecordAnnouncement(0, server(1, 5, 90).WithPhase(roster.Gone))
		Expect(r.RecordAnnouncement(0, server(1, 6, 1))).To(HaveLen(1))
		Expect(phase(1)).To(Equal(roster.Ready))
	})

	It("ends the start that a deregistration names, and no later one", func() {
		r.RecordAnnouncement(0, server(1, 5, 1))
		r.RecordAnnouncement(0, server(1, 6, 1).WithPhase(roster.Draining))
		for incarnation, ends := range map[uint64]bool{5: false, 6: true, 7: false} {
			_, found, err := r.Deregister(roster.Deregistration{ID: 1, Incarnation: incarnation})
			Expect(err).NotTo(HaveOccurred())
			Expect(found).To(Equal(ends))
		}
	})

	It("ends no start that registered after the connection of the deregistration was opened", func() {
		r.RecordAnnouncement(10*time.Second, server(1, 5, 1))
		r.RecordAnnouncement(20*time.Second, server(1, 6, 1).WithPhase(roster.Draining))
		r.RecordAnnouncement(40*time.Second, server(1, 6, 2).WithPhase(roster.Draining))
		_, found, err := r.Deregister(roster.Deregistration{ID: 1, ConnectedAt: 15 * time.Second})
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(BeFalse())
		ended, found, err := r.Deregister(roster.Deregistration{ID: 1, ConnectedAt: 30 * time.Second})
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(BeTrue())
		Expect(ended).To(Equal(server(1, 6, 2).WithPhase(roster.Gone)))
	})

	It("rejects a deregistration that names no start while the backend server is ready", func() {
		r.RecordAnnouncement(10, server(1, 5, 1))
		_, _, err := r.Deregister(roster.Deregistration{ID: 1, ConnectedAt: 30})
		Expect(err).To(MatchError(roster.ErrNotLeaving))
	})

	// A replica that was paused receives the record of a later start and accepts the
	// connections of the pause in any order when it resumes.
	It("rejects a deregistration that names no start when the start has only just become known", func() {
		r.RecordAnnouncement(10*time.Second, server(1, 6, 1).WithPhase(roster.Draining))
		_, found, err := r.Deregister(roster.Deregistration{ID: 1, ConnectedAt: 10500 * time.Millisecond})
		Expect(err).To(MatchError(roster.ErrStartRecent))
		Expect(found).To(BeFalse())
		r.RecordAnnouncement(11*time.Second, server(1, 6, 2).WithPhase(roster.Gone))
		_, _, err = r.Deregister(roster.Deregistration{ID: 1, ConnectedAt: 10500 * time.Millisecond})
		Expect(err).NotTo(HaveOccurred(), "repeated after the start has ended")
	})

	It("gives an address to the newest incarnation there, in either order", func() {
		old, next := server(1, 5, 1), server(2, 6, 1)
		next.Address = old.Address
		r.RecordAnnouncement(0, old)
		Expect(r.RecordAnnouncement(0, next)).To(HaveLen(2))
		Expect(phase(1)).To(Equal(roster.Gone))

		r = &roster.Roster{}
		r.RecordAnnouncement(0, next)
		r.RecordAnnouncement(0, old) // delayed by a network partition
		Expect(phase(1)).To(Equal(roster.Gone))
		Expect(phase(2)).To(Equal(roster.Ready))
	})

	It("marks a server as silent until its next heartbeat", func() {
		r.RecordAnnouncement(0, server(1, 5, 1))
		Expect(r.MarkSilent(3*time.Second, 0, 4*time.Second)).To(BeEmpty())
		Expect(r.MarkSilent(5*time.Second, 0, 4*time.Second)).To(HaveLen(1))
		Expect(r.MarkSilent(6*time.Second, 0, 4*time.Second)).To(BeEmpty())
		Expect(r.MergeHeartbeats(7*time.Second, []roster.Heartbeat{{ID: 1, Incarnation: 5, Sequence: 2}})).To(HaveLen(1))
		s, _ := r.Get(1)
		Expect(s.Silent).To(BeFalse())
	})

	It("does not count the time without connection to other replicas as silence", func() {
		r.RecordAnnouncement(0, server(1, 5, 1))
		connectedSince := 9 * time.Second // a network partition has healed
		Expect(r.MarkSilent(10*time.Second, connectedSince, 4*time.Second)).To(BeEmpty())
		Expect(r.MarkSilent(14*time.Second, connectedSince, 4*time.Second)).To(HaveLen(1))
	})

	It("reports each announcement once as a heartbeat", func() {
		r.RecordAnnouncement(0, server(1, 5, 1))
		r.RecordAnnouncement(0, server(1, 5, 2))
		Expect(r.TakeHeartbeats()).To(Equal([]roster.Heartbeat{{ID: 1, Incarnation: 5, Sequence: 2}}))
		Expect(r.TakeHeartbeats()).To(BeEmpty())
	})

	It("reports a record of another replica that is older than its own as stale", func() {
		r.RecordAnnouncement(0, server(1, 5, 7))
		_, stale := r.Merge(0, server(1, 5, 3).WithSilence(true))
		Expect(stale).To(BeTrue())
	})

	It("has the same digest as a roster that has expired the servers that are gone", func() {
		r.RecordAnnouncement(0, server(1, 5, 1))
		other := &roster.Roster{}
		other.RecordAnnouncement(0, server(1, 5, 1))
		r.RecordAnnouncement(0, server(2, 5, 1))
		Expect(r.Digest()).NotTo(Equal(other.Digest()))
		r.RecordAnnouncement(0, server(2, 5, 2).WithPhase(roster.Gone))
		Expect(r.Digest()).To(Equal(other.Digest()))
	})

	It("returns the records of the buckets that differ", func() {
		other := &roster.Roster{}
		for id := uint64(1); id <= 1000; id++ {
			r.RecordAnnouncement(0, server(id, 5, 1))
			other.RecordAnnouncement(0, server(id, 5, 1))
		}
		Expect(r.Differing(other.BucketDigests())).To(BeEmpty())
		r.RecordAnnouncement(0, server(7, 5, 2).WithPhase(roster.Draining))
		differing := r.Differing(other.BucketDigests())
		Expect(differing).To(ContainElement(server(7, 5, 2).WithPhase(roster.Draining)))
		Expect(len(differing)).To(BeNumerically("<", 40), "about 1000/64")
		for _, s := range differing {
			other.Merge(0, s)
		}
		Expect(other.Digest()).To(Equal(r.Digest()))
		Expect(r.Differing(nil)).To(HaveLen(1000))
	})

	It("changes its digest with every change that affects placement", func() {
		r.RecordAnnouncement(0, server(1, 5, 1))
		for i, change := range []func(*roster.Server){
			func(s *roster.Server) { s.Silent = true },
			func(s *roster.Server) { s.Phase = roster.Draining },
			func(s *roster.Server) { s.Slots++ },
			func(s *roster.Server) { s.Zone = "other" },
			func(s *roster.Server) { s.Service = "other" },
		} {
			s := server(1, 5, uint64(i+2))
			change(&s)
			before := r.Digest()
			r.RecordAnnouncement(0, s)
			Expect(r.Digest()).NotTo(Equal(before), "change %d", i)
		}
	})

	It("expires servers that have been gone for longer than the retention", func() {
		r.RecordAnnouncement(0, server(1, 5, 1).WithPhase(roster.Gone))
		Expect(r.Expire(roster.GoneRetention)).To(BeZero())
		Expect(r.Expire(roster.GoneRetention + 1)).To(Equal(1))
		Expect(r.Len()).To(BeZero())
	})
})

// TestMergeIsCommutativeAndIdempotent merges the same records in two orders, some of
// them twice.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record := rapid.Custom(func(t *rapid.T) roster.Server {
			s := server(uint64(rapid.IntRange(1, 3).Draw(t, "id")), uint64(rapid.IntRange(1, 3).Draw(t, "incarnation")),
				uint64(rapid.IntRange(1, 3).Draw(t, "sequence")))
			// One incarnation keeps its address; identifiers may share one.
			last := byte(s.ID*7+s.Incarnation) % 3
			s.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, last}), 80)
			s.Incarnation = s.Incarnation*4 + s.ID // starts at one address differ in time
			return s.WithPhase(roster.Phase(rapid.IntRange(0, 2).Draw(t, "phase")))
		})
		records := rapid.SliceOfN(record, 1, 8).Draw(t, "records")
		other := rapid.Permutation(slices.Concat(records, records[:len(records)/2])).Draw(t, "order")
		var a, b roster.Roster
		for _, s := range records {
			a.Merge(0, s)
		}
		for _, s := range other {
			b.Merge(0, s)
		}
		if a.Digest() != b.Digest() || !slices.EqualFunc(slices.Collect(a.All()), slices.Collect(b.All()), sameIncarnationAndPhase) {
			t.Fatalf("%v\nbut\n%v", slices.Collect(a.All()), slices.Collect(b.All()))
		}
	})
}

// sameIncarnationAndPhase reports whether two records of one backend server agree on
// its incarnation and phase.
func sameIncarnationAndPhase(a, b roster.Server) bool {
	return a.ID == b.ID && a.Incarnation == b.Incarnation && a.Phase == b.Phase
}

// BenchmarkMergeAll merges the records of a fleet into an empty roster, as an instance
// does after its start.
func BenchmarkMergeAll(b *testing.B) {
	for _, count := range []int{300, 3000, 12000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var servers []roster.Server
			for i := range count {
				s := server(uint64(i+1), 5, 1)
				s.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 80)
				servers = append(servers, s)
			}
			for b.Loop() {
				var r roster.Roster
				for _, s := range servers {
					r.Merge(0, s)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*count), "ns/server")
		})
	}
}
