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
	sameZone := []load.Candidate{{ID: 1, Zone: "a", Slots: 2}, {ID: 2, Zone: "a", Slots: 2}}
	pick := func(now time.Duration, candidates []load.Candidate) uint64 {
		return candidates[t.Pick(now, "a", candidates, 77, 0)].ID
	}
	BeforeEach(func() { t = &load.Tracker{} })

	It("counts a request from the opening packet to the acknowledged response", func() {
		t.Open(0, 10, 1)
		Expect(t.InFlight(1)).To(Equal(1))
		t.Observe(10*ms, 10, 1, load.Packet{Ack: 100})
		t.Observe(11*ms, 10, 1, load.Packet{Data: true, Ack: 100})
		Expect(t.InFlight(1)).To(Equal(1))
		t.Observe(50*ms, 10, 1, load.Packet{Ack: 700})
		Expect(t.InFlight(1)).To(BeZero())
	})

	It("counts each request of a persistent flow", func() {
		t.Open(0, 10, 1)
		t.Observe(1*ms, 10, 1, load.Packet{Data: true, Ack: 100})
		t.Observe(2*ms, 10, 1, load.Packet{Ack: 500})
		t.Observe(3*ms, 10, 1, load.Packet{Data: true, Ack: 500})
		Expect(t.InFlight(1)).To(Equal(1))
		t.Observe(4*ms, 10, 1, load.Packet{Ack: 900, Finish: true})
		Expect(t.InFlight(1)).To(BeZero())
		Expect(t.Flows()).To(BeZero())
	})

	It("tracks a flow that another instance opened from its next request on", func() {
		t.Observe(0, 10, 1, load.Packet{Data: true, Ack: 3})
		Expect(t.InFlight(1)).To(Equal(1))
	})

	It("picks the backend server with the fewest requests per slot", func() {
		t.Open(0, 10, 1)
		Expect(pick(0, sameZone)).To(Equal(uint64(2)))
		t.Open(0, 11, 2)
		t.Open(0, 12, 2)
		Expect(pick(0, sameZone)).To(Equal(uint64(1)))
	})

	It("picks from another availability zone once every slot in its own is occupied", func() {
		both := []load.Candidate{{ID: 1, Zone: "a", Slots: 2}, {ID: 2, Zone: "b", Slots: 2}}
		t.Open(0, 10, 1)
		Expect(pick(0, both)).To(Equal(uint64(1)))
		t.Open(0, 11, 1)
		Expect(pick(0, both)).To(Equal(uint64(2)))
	})

	It("prefers backend servers that are not silent, but picks a silent one rather than none", func() {
		silent := []load.Candidate{{ID: 1, Zone: "a", Slots: 2, Silent: true}, {ID: 2, Zone: "b", Slots: 2}}
		t.Open(0, 10, 2)
		t.Open(0, 11, 2)
		Expect(pick(0, silent)).To(Equal(uint64(2)))
		Expect(pick(0, silent[:1])).To(Equal(uint64(1)))
		Expect(t.Pick(0, "a", nil, 77, 0)).To(Equal(-1))
	})

	It("avoids a backend server that does not respond to opening packets for a limited time", func() {
		for key := range uint64(2) {
			t.Open(0, key, 1)
			Expect(t.RecordRetransmit(200*ms, key)).To(Equal(uint64(1)))
		}
		t.Open(200*ms, 10, 2)
		Expect(pick(200*ms, sameZone)).To(Equal(uint64(2)))
		t.Expire(2*time.Second, time.Minute)
		t.Open(2*time.Second, 11, 2)
		Expect(pick(2*time.Second, sameZone)).To(Equal(uint64(1)), "tried again")
	})

	It("stops avoiding a backend server that responds", func() {
		for key := range uint64(2) {
			t.Open(0, key, 1)
			t.RecordRetransmit(200*ms, key)
		}
		t.Observe(201*ms, 0, 1, load.Packet{Ack: 1, Finish: true})
		t.Open(202*ms, 10, 2)
		t.Open(202*ms, 11, 2)
		Expect(pick(202*ms, sameZone)).To(Equal(uint64(1)))
	})

	It("does not pick the backend server that has just failed the flow", func() {
		i := t.Pick(0, "a", sameZone, 77, 1)
		Expect(sameZone[i].ID).To(Equal(uint64(2)))
		i = t.Pick(0, "a", sameZone, 77, 2)
		Expect(sameZone[i].ID).To(Equal(uint64(1)))
	})

	It("stops counting requests that have timed out", func() {
		t.Open(0, 10, 1)
		t.Observe(0, 11, 2, load.Packet{Data: true})
		t.Expire(5*time.Second, time.Minute)
		Expect(t.InFlight(1)).To(BeZero())
		Expect(t.InFlight(2)).To(BeZero())
	})

	// exchange runs a flow with one request and a response of the given size.
	exchange := func(now time.Duration, key, id uint64, bytes uint32) {
		t.Open(now, key, id)
		t.Observe(now+ms, key, id, load.Packet{Data: true, Ack: 9})
		t.Observe(now+30*ms, key, id, load.Packet{Ack: 9 + bytes, Finish: true})
	}

	It("reports short responses, and avoids an ejected backend server until its ejection ends", func() {
		for key := range uint64(20) {
			exchange(0, key, 1+key%2, 4000)
		}
		Expect(t.TakeFailures()).To(BeEmpty())
		exchange(time.Second, 100, 2, 200)
		Expect(t.TakeFailures()).To(Equal([]load.Failures{{ID: 2, Count: 1}}))
		picked := pick(time.Second, sameZone)
		t.Eject(time.Second, load.Ejection{ID: picked, Period: 2 * time.Second})
		Expect(pick(2*time.Second, sameZone)).NotTo(Equal(picked))
		Expect(pick(3*time.Second, sameZone)).To(Equal(picked), "picked again after the ejection")
		t.Eject(4*time.Second, load.Ejection{ID: picked, Period: 2 * time.Second})
		t.Eject(5*time.Second, load.Ejection{ID: picked})
		Expect(pick(5*time.Second, sameZone)).To(Equal(picked), "the ejection was revoked")
	})

	// A backend server that has started again used to be avoided for failures of its
	// former start, also when these were reported or decided on afterwards.
	It("does not count failures and ejections of an earlier start", func() {
		const first, second = 1000, 2000
		for _, c := range sameZone {
			t.RecordStart(c.ID, first)
		}
		for key := range uint64(20) {
			exchange(0, key, 1+key%2, 4000)
		}
		picked := pick(time.Second, sameZone)
		exchange(time.Second, 100, picked, 200)
		t.Eject(time.Second, load.Ejection{ID: picked, Period: 8 * time.Second, Incarnation: first})
		t.Open(time.Second, 101, picked)
		t.Observe(time.Second, 101, picked, load.Packet{Data: true})
		t.RecordStart(picked, second)
		t.Expire(2*time.Second, time.Minute)
		Expect(pick(2*time.Second, sameZone)).To(Equal(picked))
		t.DetectStuckRequests(3 * time.Second)
		Expect(t.TakeFailures()).To(BeEmpty())
		t.Eject(3*time.Second, load.Ejection{ID: picked, Period: 8 * time.Second, Incarnation: first})
		Expect(pick(4*time.Second, sameZone)).To(Equal(picked))
		t.Eject(4*time.Second, load.Ejection{ID: picked, Period: 8 * time.Second, Incarnation: second})
		Expect(pick(5*time.Second, sameZone)).NotTo(Equal(picked))
	})

	It("picks an ejected backend server if there is no other", func() {
		t.Eject(0, load.Ejection{ID: 1, Period: time.Second})
		Expect(pick(0, sameZone[:1])).To(Equal(uint64(1)))
	})

	It("reports few failures on a route whose responses vary in size", func() {
		for key := range uint64(400) {
			exchange(0, key, 1+key%2, 4000*uint32(1-key/2%2)+500)
		}
		var detector load.OutlierDetector
		failures := t.TakeFailures()
		Expect(detector.Report(0, 2, failures)).To(BeEmpty())
		for _, f := range failures {
			Expect(f.Count).To(BeNumerically("<=", 2), "of 200 responses, before enough sizes were recorded")
		}
	})

	It("counts the short responses of a persistent flow", func() {
		for key := range uint64(20) {
			exchange(0, key, 2, 4000)
		}
		t.Observe(time.Second, 100, 1, load.Packet{Data: true, Ack: 9})
		t.Observe(time.Second, 100, 1, load.Packet{Ack: 209})
		t.Observe(time.Second, 100, 1, load.Packet{Data: true, Ack: 209})
		t.Observe(time.Second, 100, 1, load.Packet{Ack: 409, Finish: true})
		Expect(t.TakeFailures()).To(Equal([]load.Failures{{ID: 1, Count: 2}}))
	})

	It("reports a stuck request once", func() {
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

	// When an instance joins or leaves, the network may send most flows to other
	// instances. The responses to requests that passed here are then acknowledged
	// elsewhere.
	It("does not count requests as stuck whose flows may have moved to other instances", func() {
		for key := range uint64(20) {
			exchange(0, key, 1, 4000)
		}
		t.TakeFailures()
		t.DetectStuckRequests(0)
		for key := range uint64(10) {
			t.Observe(0, 100+key, 1+key, load.Packet{Data: true, Ack: 9}) // moves away
		}
		for key := range uint64(10) {
			t.Observe(100*ms, 200+key, 1+key, load.Packet{Data: true, Ack: 9}) // comes from elsewhere
		}
		const begin = 4 * time.Second
		for now := 100 * ms; now < begin; now += 100 * ms {
			t.DetectStuckRequests(now)
			if now == 200*ms {
				for key := range uint64(10) {
					t.Observe(now, 200+key, 1+key, load.Packet{Ack: 4009})
				}
			}
		}
		Expect(t.TakeFailures()).To(BeEmpty())
		t.Observe(begin, 200, 1, load.Packet{Data: true, Ack: 4009})
		for now := begin; now < begin+2*time.Second; now += 100 * ms {
			t.DetectStuckRequests(now)
		}
		Expect(t.TakeFailures()).To(Equal([]load.Failures{{ID: 1, Count: 1}}), "later requests count again")
	})

	It("does not count requests as stuck that waited during a pause of the process", func() {
		t.DetectStuckRequests(0)
		t.Observe(0, 100, 1, load.Packet{Data: true, Ack: 9})
		t.DetectStuckRequests(100 * ms)
		t.DetectStuckRequests(5 * time.Second) // the process was paused
		Expect(t.TakeFailures()).To(BeEmpty())
	})
})

var _ = Describe("shared outlier detection", func() {
	const ms = time.Millisecond
	oneFailure := func(id uint64) []load.Failures { return []load.Failures{{ID: id, Count: 1}} }

	It("ejects a backend server after the reports of several instances, each time for longer", func() {
		var detector load.OutlierDetector
		Expect(detector.Report(0, 40, oneFailure(7))).To(BeEmpty())
		Expect(detector.Report(100*ms, 40, oneFailure(7))).To(BeEmpty())
		Expect(detector.Report(150*ms, 40, oneFailure(7))).To(BeEmpty())
		Expect(detector.Report(200*ms, 40, oneFailure(7))).To(Equal([]load.Ejection{{ID: 7, Period: 2 * time.Second}}))
		Expect(detector.Report(300*ms, 40, oneFailure(7))).To(BeEmpty(), "already ejected")
		again := detector.Report(2300*ms, 40, []load.Failures{{ID: 7, Count: 4}})
		Expect(again).To(Equal([]load.Ejection{{ID: 7, Period: 4 * time.Second}}))
	})

	It("ejects no backend server for occasional failures", func() {
		var detector load.OutlierDetector
		for i := range 50 {
			Expect(detector.Report(time.Duration(i)*time.Second, 40, oneFailure(7))).To(BeEmpty())
		}
	})

	It("does not count late reports of an earlier start", func() {
		var detector load.OutlierDetector
		Expect(detector.Report(0, 40, []load.Failures{{ID: 7, Count: 9, Incarnation: 1000}})).To(HaveLen(1))
		Expect(detector.Report(100*ms, 40, []load.Failures{{ID: 7, Count: 1, Incarnation: 2000}})).To(BeEmpty())
		Expect(detector.Report(200*ms, 40, []load.Failures{{ID: 7, Count: 9, Incarnation: 1000}})).To(BeEmpty())
		Expect(detector.Report(300*ms, 40, []load.Failures{{ID: 7, Count: 9, Incarnation: 2000}})).To(Equal(
			[]load.Ejection{{ID: 7, Period: 2 * time.Second, Incarnation: 2000}}))
	})

	It("ends all ejections when most backend servers fail", func() {
		var detector load.OutlierDetector
		Expect(detector.Report(0, 20, []load.Failures{{ID: 7, Count: 9}})).To(HaveLen(1))
		var ended []load.Ejection
		for id := range uint64(20) {
			ended = append(ended, detector.Report(100*ms, 20, []load.Failures{{ID: id, Count: 2}})...)
		}
		Expect(ended).To(ContainElement(load.Ejection{ID: 7}))
	})

	It("ejects no backend server when all fail equally often", func() {
		var detector load.OutlierDetector
		for i := range 400 {
			Expect(detector.Report(time.Duration(i)*10*ms, 20, oneFailure(uint64(i%20)))).To(BeEmpty())
		}
	})
})
