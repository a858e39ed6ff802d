package gate_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragepost/core/claim"
	"boragepost/core/model"
	"boragepost/io/gate"
	"boragepost/io/logs"
)

func TestGate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gate")
}

// claims is a fake of the claims' replicas.
type claims struct {
	mu   sync.Mutex
	held map[claim.Key]claim.Record
}

func (c *claims) ask(_ context.Context, key claim.Key, ask claim.Record) (claim.Record, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old, exists := c.held[key]
	value, write := claim.Decide(key, ask, old, exists)
	if write {
		c.held[key] = value
	}
	return value, nil
}

var _ = Describe("the gateway", func() {
	var gateway *gate.Gateway
	var front *httptest.Server
	var held *claims
	var servers []model.BackendServer
	var booking string // body of the requests

	backend := func(h http.HandlerFunc) {
		s := httptest.NewServer(h)
		DeferCleanup(s.Close)
		addr := netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
		id := model.ServerID(len(servers) + 1)
		servers = append(servers, model.BackendServer{
			ID: id, Name: fmt.Sprint("b", id), Service: "yard", HTTP: addr, Packets: addr, Slots: 2})
		gateway.Apply(gate.View{Services: []gate.Service{{
			Service: model.Service{Name: "yard", Sharing: "leastInFlight"}, Servers: servers}}})
	}
	send := func(method, key, timeout string) (outcome, body string) {
		req, err := http.NewRequest(method, front.URL+"/bookings", strings.NewReader(booking))
		Expect(err).NotTo(HaveOccurred())
		req.Host = "yard"
		req.GetBody = nil
		if key != "" {
			req.Header.Set(gate.HeaderIdempotencyKey, key)
		}
		req.Header.Set(gate.HeaderTimeout, timeout)
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		return resp.Header.Get(gate.HeaderOutcome), string(data)
	}
	// hangUp ends a connection after the request was read, without an answer.
	hangUp := func(count *atomic.Int64) http.HandlerFunc {
		return func(_ http.ResponseWriter, req *http.Request) {
			io.Copy(io.Discard, req.Body)
			count.Add(1)
			panic(http.ErrAbortHandler)
		}
	}

	BeforeEach(func() {
		servers = nil
		booking = "a booking"
		held = &claims{held: map[claim.Key]claim.Record{}}
		gateway = gate.New(gate.Config{Self: "entry-1", MaxBodyBytes: 1000, Claim: held.ask, Log: logs.Discard(),
			IsMember: func(id model.InstanceID) bool { return id == "entry-1" }})
		front = httptest.NewServer(gateway)
		DeferCleanup(front.Close)
	})

	It("never sends a non-idempotent request twice, not even on a connection that was used before", func() {
		booking = "" // the transport can repeat an empty body
		var runs, aborted atomic.Int64
		backend(func(w http.ResponseWriter, req *http.Request) {
			io.Copy(io.Discard, req.Body)
			if runs.Add(1) > 1 {
				aborted.Add(1)
				panic(http.ErrAbortHandler)
			}
		})
		outcome, _ := send("POST", "first", "5")
		Expect(outcome).To(Equal("answer"))
		outcome, _ = send("POST", "second", "5")
		Expect(outcome).To(Equal("unknown"))
		Expect(aborted.Load()).To(Equal(int64(1)))
		outcome, _ = send("POST", "second", "5")
		Expect(outcome).To(Equal("unknown"))
		Expect(runs.Load()).To(Equal(int64(2)))
	})

	It("sends a safe request to another backend server after a lost answer", func() {
		var lost, good atomic.Int64
		backend(hangUp(&lost))
		backend(func(w http.ResponseWriter, _ *http.Request) { good.Add(1); fmt.Fprint(w, "page") })
		for range 20 {
			outcome, body := send("GET", "", "5")
			Expect(outcome + " " + body).To(Equal("answer page"))
		}
		Expect(lost.Load()).To(BeNumerically(">", 0))
	})

	It("sends a refused request elsewhere and adds at most a tenth when all refuse", func() {
		var refused, ran atomic.Int64
		refuse := func(w http.ResponseWriter, _ *http.Request) {
			refused.Add(1)
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		backend(refuse)
		backend(func(http.ResponseWriter, *http.Request) { ran.Add(1) })
		outcome, _ := send("POST", "k", "5")
		Expect(outcome).To(Equal("answer"))
		Expect(ran.Load()).To(Equal(int64(1)))
		servers = nil
		backend(refuse)
		backend(refuse)
		refused.Store(0)
		const requests = 300
		for i := range requests {
			outcome, _ := send("POST", fmt.Sprint("r", i), "5")
			Expect(outcome).To(Equal("notRun"))
		}
		firstRetries := int64(10) // which the budget allows at the start
		Expect(refused.Load()).To(BeNumerically("<=", requests+requests/10+firstRetries))
	})

	It("gives a resend the first answer, also while the first run lasts", func() {
		var runs atomic.Int64
		backend(func(w http.ResponseWriter, _ *http.Request) {
			n := runs.Add(1)
			time.Sleep(200 * time.Millisecond)
			fmt.Fprint(w, "booking ", n)
		})
		var wg sync.WaitGroup
		for range 4 {
			wg.Add(1)
			go func() {
				defer GinkgoRecover()
				defer wg.Done()
				outcome, body := send("POST", "same", "5")
				Expect(outcome + " " + body).To(Equal("answer booking 1"))
			}()
		}
		wg.Wait()
		Expect(runs.Load()).To(Equal(int64(1)))
	})

	It("says unknown for a request whose gateway is gone", func() {
		backend(func(http.ResponseWriter, *http.Request) { Fail("ran again") })
		var digest claim.Record
		probe := gate.New(gate.Config{Self: "entry-2", Log: logs.Discard(), IsMember: func(model.InstanceID) bool { return true },
			Claim: func(_ context.Context, _ claim.Key, ask claim.Record) (claim.Record, error) {
				digest = ask
				return claim.Record{State: claim.Unknown, Digest: ask.Digest}, nil
			}})
		probe.Apply(gate.View{Services: []gate.Service{{Service: model.Service{Name: "yard"}, Servers: servers}}})
		req := httptest.NewRequest("POST", "/bookings", strings.NewReader("a booking"))
		req.Host = "yard"
		req.Header.Set(gate.HeaderIdempotencyKey, "k")
		probe.ServeHTTP(httptest.NewRecorder(), req)
		held.held["yard\x00k"] = digest // entry-2 claimed it and is no member any more
		outcome, _ := send("POST", "k", "2")
		Expect(outcome).To(Equal("unknown"))
	})

	It("does not pass on an answer to another request", func() {
		backend(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(gate.HeaderRequestID, "another")
			fmt.Fprint(w, "another's booking")
		})
		outcome, body := send("POST", "k", "5")
		Expect(outcome).To(Equal("unknown"))
		Expect(body).NotTo(ContainSubstring("another's"))
	})

	It("refuses a key that belongs to another request, a body that is too large, and bad deadlines", func() {
		backend(func(http.ResponseWriter, *http.Request) {})
		outcome, _ := send("POST", "k", "5")
		Expect(outcome).To(Equal("answer"))
		outcome, body := send("PATCH", "k", "5")
		Expect(outcome).To(Equal("notRun"))
		Expect(body).To(ContainSubstring("belongs to another request"))
		for _, bad := range []string{"-1", "NaN", "soon"} {
			outcome, _ = send("GET", "", bad)
			Expect(outcome).To(Equal("notRun"), bad)
		}
		req, err := http.NewRequest("POST", front.URL, strings.NewReader(strings.Repeat("x", 2000)))
		Expect(err).NotTo(HaveOccurred())
		req.Host = "yard"
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
	})

	It("finishes the requests in flight before it has drained", func() {
		backend(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(200 * time.Millisecond)
			fmt.Fprint(w, "whole")
		})
		got := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			outcome, body := send("POST", "k", "5")
			got <- outcome + " " + body
		}()
		Eventually(func() int { held.mu.Lock(); defer held.mu.Unlock(); return len(held.held) }).Should(Equal(1))
		Expect(gateway.Drain(context.Background())).To(Succeed())
		Eventually(got).Should(Receive(Equal("answer whole")))
		outcome, _ := send("POST", "late", "5")
		Expect(outcome).To(Equal("notRun"))
	})
})
