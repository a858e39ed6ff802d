package stand_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"boragepost/io/stand"
)

// startServer starts a backend server with one slot on a loopback address.
func startServer(t *testing.T, host byte, change func(*stand.ServerConfig)) string {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	addr := netip.AddrFrom4([4]byte{127, 250, 250, host})
	cfg := stand.ServerConfig{
		Name: "b", Service: "yard", Packets: netip.AddrPortFrom(addr, 7000), HTTP: netip.AddrPortFrom(addr, 8000),
		Announce: []netip.AddrPort{netip.AddrPortFrom(addr, 1)}, Slots: 1, LongTime: time.Minute, Incarnation: 1,
	}
	change(&cfg)
	_, err := stand.StartServer(ctx, cfg)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return "http://" + cfg.HTTP.String()
}

func runningRequests(g *WithT, url string) float64 {
	resp, err := http.Get(url + "/load")
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var load map[string]float64
	g.Expect(json.NewDecoder(resp.Body).Decode(&load)).To(Succeed())
	return load["running"]
}

func postLong(ctx context.Context, url, timeout string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/long", strings.NewReader("order"))
	if err != nil {
		return err
	}
	req.Header.Set("Request-Timeout", timeout)
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		resp.Body.Close()
	}
	return err
}

// TestServerFaultInjection checks the faults that a stand-in injects: a load that
// is reported late and doubled, and a server that reports itself healthy but does
// not respond. It also checks that the caller's deadline ends a request.
func TestServerFaultInjection(t *testing.T) {
	g := NewWithT(t)
	normal := startServer(t, 1, func(*stand.ServerConfig) {})
	lagging := startServer(t, 2, func(c *stand.ServerConfig) { c.LoadLag, c.LoadFactor = time.Hour, 2 })
	silent := startServer(t, 3, func(c *stand.ServerConfig) { c.Silent = true })
	g.Expect(runningRequests(g, lagging)).To(BeZero())
	ctx, cancel := context.WithCancel(context.Background())
	go postLong(ctx, normal, "60")
	go postLong(ctx, lagging, "60")
	g.Eventually(func() float64 { return runningRequests(g, normal) }, "5s").Should(Equal(1.0))
	g.Expect(runningRequests(g, lagging)).To(BeZero())
	cancel()
	g.Eventually(func() float64 { return runningRequests(g, normal) }, "5s").Should(BeZero())
	g.Expect(postLong(context.Background(), normal, "0.05")).To(HaveOccurred())
	resp, err := http.Get(silent + "/health")
	g.Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	g.Expect(postLong(context.Background(), silent, "0.05")).To(HaveOccurred())
}
