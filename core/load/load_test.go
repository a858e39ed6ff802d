package load_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragepost/core/load"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "load")
}

var _ = Describe("a load tracker", func() {
	var t *load.Tracker
	const ms = time.Millisecond
	here := []load.Candidate{{ID: 1, Zone: "a", Slots: 2}, {ID: 2, Zone: "a", Slots: 2}}
	pick := func(now time.Duration, candidates []load.Candidate) uint64 {
		return candidates[t.Pick(now, "a", candidates, 77, 0)].ID
	}
	BeforeEach(func() { t = &load.Tracker{} })

	It("counts a request from the opening packet to the acknowledged answer", func() {
		t.Open(0, 10, 1)
		Expect(t.InFlight(1)).To(Equal(1))
		t.Observe(10*ms, 10, 1, load.Packet{Ack: 100})
		t.Observe(11*ms, 10, 1, load.Packet{Data: true, Ack: 100})
		Expect(t.InFlight(1)).To(Equal(1))
		t.Observe(50*ms, 10, 1, load.Packet{Ack: 700})
		Expect(t.InFlight(1)).To(BeZero())
	})

	It("counts each request of a long flow", func() {
		t.Open(0, 10, 1)
		t.Observe(1*ms, 10, 1, load.Packet{Data: true, Ack: 100})
		t.Observe(2*ms, 10, 1, load.Packet{Ack: 500})
		t.Observe(3*ms, 10, 1, load.Packet{Data: true, Ack: 500})
		Expect(t.InFlight(1)).To(Equal(1))
		t.Observe(4*ms, 10, 1, load.Packet{Ack: 900, Finish: true})
		Expect(t.InFlight(1)).To(BeZero())
		Expect(t.Flows()).To(BeZero())
	})

	It("learns of a flow that another instance opened", func() {
		t.Observe(0, 10, 1, load.Packet{Data: true, Ack: 3})
		Expect(t.InFlight(1)).To(Equal(1))
	})

	It("picks the backend server with the fewest requests a slot", func() {
		t.Open(0, 10, 1)
		Expect(pick(0, here)).To(Equal(uint64(2)))
		t.Open(0, 11, 2)
		t.Open(0, 12, 2)
		Expect(pick(0, here)).To(Equal(uint64(1)))
	})

	It("leaves its availability zone once every slot there is taken", func() {
		both := []load.Candidate{{ID: 1, Zone: "a", Slots: 2}, {ID: 2, Zone: "b", Slots: 2}}
		t.Open(0, 10, 1)
		Expect(pick(0, both)).To(Equal(uint64(1)))
		t.Open(0, 11, 1)
		Expect(pick(0, both)).To(Equal(uint64(2)))
	})

	It("prefers backend servers that announce themselves, but uses any", func() {
		silent := []load.Candidate{{ID: 1, Zone: "a", Slots: 2, Silent: true}, {ID: 2, Zone: "b", Slots: 2}}
		t.Open(0, 10, 2)
		t.Open(0, 11, 2)
		Expect(pick(0, silent)).To(Equal(uint64(2)))
		Expect(pick(0, silent[:1])).To(Equal(uint64(1)))
		Expect(t.Pick(0, "a", nil, 77, 0)).To(Equal(-1))
	})

	It("avoids a backend server that leaves opening packets without an answer, for a while", func() {
		for key := range uint64(2) {
			t.Open(0, key, 1)
			Expect(t.RecordRetransmit(200*ms, key)).To(Equal(uint64(1)))
		}
		t.Open(200*ms, 10, 2)
		Expect(pick(200*ms, here)).To(Equal(uint64(2)))
		t.Expire(2*time.Second, time.Minute)
		t.Open(2*time.Second, 11, 2)
		Expect(pick(2*time.Second, here)).To(Equal(uint64(1)), "tried again")
	})

	It("trusts a backend server again that answers", func() {
		for key := range uint64(2) {
			t.Open(0, key, 1)
			t.RecordRetransmit(200*ms, key)
		}
		t.Observe(201*ms, 0, 1, load.Packet{Ack: 1, Finish: true})
		t.Open(202*ms, 10, 2)
		t.Open(202*ms, 11, 2)
		Expect(pick(202*ms, here)).To(Equal(uint64(1)))
	})

	It("does not choose the backend server that has just failed the flow", func() {
		i := t.Pick(0, "a", here, 77, 1)
		Expect(here[i].ID).To(Equal(uint64(2)))
		i = t.Pick(0, "a", here, 77, 2)
		Expect(here[i].ID).To(Equal(uint64(1)))
	})

	It("stops believing in requests that last too long", func() {
		t.Open(0, 10, 1)
		t.Observe(0, 11, 2, load.Packet{Data: true})
		t.Expire(5*time.Second, time.Minute)
		Expect(t.InFlight(1)).To(BeZero())
		Expect(t.InFlight(2)).To(BeZero())
	})

	// exchange plays a flow with one request, whose answer has so many bytes.
	exchange := func(now time.Duration, key, id uint64, bytes uint32) {
		t.Open(now, key, id)
		t.Observe(now+ms, key, id, load.Packet{Data: true, Ack: 9})
		t.Observe(now+30*ms, key, id, load.Packet{Ack: 9 + bytes, Finish: true})
	}

	It("reports short answers, and avoids what is ejected, until that ends", func() {
		for key := range uint64(20) {
			exchange(0, key, 1+key%2, 4000)
		}
		Expect(t.TakeFailures()).To(BeEmpty())
		exchange(time.Second, 100, 2, 200)
		Expect(t.TakeFailures()).To(Equal([]load.Failures{{ID: 2, Count: 1}}))
		usual := pick(time.Second, here)
		t.Eject(time.Second, load.Ejection{ID: usual, Period: 2 * time.Second})
		Expect(pick(2*time.Second, here)).NotTo(Equal(usual))
		Expect(pick(3*time.Second, here)).To(Equal(usual), "it is tried again")
		t.Eject(4*time.Second, load.Ejection{ID: usual, Period: 2 * time.Second})
		t.Eject(5*time.Second, load.Ejection{ID: usual})
		Expect(pick(5*time.Second, here)).To(Equal(usual), "the ejection was ended")
	})

	It("uses one that is ejected when there is no other", func() {
		t.Eject(0, load.Ejection{ID: 1, Period: time.Second})
		Expect(pick(0, here[:1])).To(Equal(uint64(1)))
	})

	It("reports next to nothing where answers vary in size", func() {
		for key := range uint64(400) {
			exchange(0, key, 1+key%2, 4000*uint32(1-key/2%2)+500)
		}
		var j load.OutlierDetector
		failures := t.TakeFailures()
		Expect(j.Report(0, 2, failures)).To(BeEmpty())
		for _, f := range failures {
			Expect(f.Count).To(BeNumerically("<=", 2), "of 200 answers, while the first were seen")
		}
	})

	It("sees the answers of a long flow", func() {
		for key := range uint64(20) {
			exchange(0, key, 2, 4000)
		}
		t.Observe(time.Second, 100, 1, load.Packet{Data: true, Ack: 9})
		t.Observe(time.Second, 100, 1, load.Packet{Ack: 209})
		t.Observe(time.Second, 100, 1, load.Packet{Data: true, Ack: 209})
		t.Observe(time.Second, 100, 1, load.Packet{Ack: 409, Finish: true})
		Expect(t.TakeFailures()).To(Equal([]load.Failures{{ID: 1, Count: 2}}))
	})

	It("reports a request that is stuck, once", func() {
		for key := range uint64(20) {
			exchange(0, key, 1, 4000)
		}
		t.TakeFailures()
		begin := time.Second
		t.DetectStuckRequests(begin)
		t.Observe(begin, 100, 1, load.Packet{Data: true, Ack: 9})
		var reported []time.Duration
		for now := begin; now < begin+2*time.Second; now += 100 * ms {
			t.DetectStuckRequests(now)
			for range t.TakeFailures() {
				reported = append(reported, now-begin)
			}
		}
		Expect(reported).To(Equal([]time.Duration{800 * ms}))
	})

	It("does not take its own pause for a stuck request", func() {
		t.DetectStuckRequests(0)
		t.Observe(0, 100, 1, load.Packet{Data: true, Ack: 9})
		t.DetectStuckRequests(100 * ms)
		t.DetectStuckRequests(5 * time.Second) // the process was frozen
		Expect(t.TakeFailures()).To(BeEmpty())
	})
})

var _ = Describe("shared outlier detection", func() {
	const ms = time.Millisecond
	one := func(id uint64) []load.Failures { return []load.Failures{{ID: id, Count: 1}} }

	It("ejects what several instances have seen to fail, each time for longer", func() {
		var j load.OutlierDetector
		Expect(j.Report(0, 40, one(7))).To(BeEmpty())
		Expect(j.Report(100*ms, 40, one(7))).To(BeEmpty())
		Expect(j.Report(150*ms, 40, one(7))).To(BeEmpty())
		Expect(j.Report(200*ms, 40, one(7))).To(Equal([]load.Ejection{{ID: 7, Period: 2 * time.Second}}))
		Expect(j.Report(300*ms, 40, one(7))).To(BeEmpty(), "it is avoided")
		again := j.Report(2300*ms, 40, []load.Failures{{ID: 7, Count: 4}})
		Expect(again).To(Equal([]load.Ejection{{ID: 7, Period: 4 * time.Second}}))
	})

	It("ejects nobody for what happens now and then", func() {
		var j load.OutlierDetector
		for i := range 50 {
			Expect(j.Report(time.Duration(i)*time.Second, 40, one(7))).To(BeEmpty())
		}
	})

	It("ends its ejections when most fail", func() {
		var j load.OutlierDetector
		Expect(j.Report(0, 20, []load.Failures{{ID: 7, Count: 9}})).To(HaveLen(1))
		var ended []load.Ejection
		for id := range uint64(20) {
			ended = append(ended, j.Report(100*ms, 20, []load.Failures{{ID: id, Count: 2}})...)
		}
		Expect(ended).To(ContainElement(load.Ejection{ID: 7}))
	})

	It("ejects nobody when all fail alike", func() {
		var j load.OutlierDetector
		for i := range 400 {
			Expect(j.Report(time.Duration(i)*10*ms, 20, one(uint64(i%20)))).To(BeEmpty())
		}
	})
})
