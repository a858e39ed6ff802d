package plane_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// While backend servers come and go, the rosters of two replicas nearly always differ
// in the few records that are on their way. That must not make replicas send each other
// the complete roster again and again.
var _ = Describe("traffic between replicas", func() {
	It("grows with the changes and not with the number of backend servers", func() {
		const servers, changes = 3000, 400
		s := newClusterWith(3, time.Minute)
		propose(s.any(), 1)
		first := s.replicas[s.seeds[0]]
		for id := uint64(1); id <= servers; id++ {
			announce(first, server(id, 1))
		}
		for _, r := range s.replicas {
			Eventually(func() int { return len(r.Servers()) }, timeout).Should(Equal(servers))
		}
		before, start := first.LinkBytes(), time.Now()
		for i := uint64(0); i < changes; i++ {
			changed := server(1+i, 2)
			changed.Slots++
			announce(s.replicas[s.seeds[i%3]], changed)
			time.Sleep(5 * time.Millisecond)
		}
		// A record has some 60 bytes, and a third of the changes leave this replica twice while
		// the others arrive: 16 kB a second. A bucket has 47 records, 3 kB, and some differ each
		// second. The complete roster has 180 kB.
		perSecond := float64(first.LinkBytes()-before) / time.Since(start).Seconds()
		Expect(perSecond).To(BeNumerically("<", 180_000), "less than one complete roster a second")
	})
})
