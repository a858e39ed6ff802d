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

// serve starts a backend server with one slot on a loopback address.
func serve(t *testing.T, host byte, change func(*stand.ServerConfig)) string {
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

func running(g *WithT, url string) float64 {
	resp, err := http.Get(url + "/load")
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var load map[string]float64
	g.Expect(json.NewDecoder(resp.Body).Decode(&load)).To(Succeed())
	return load["running"]
}

func post(ctx context.Context, url, timeout string) error {
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

// TestServerMisleads checks the stand-in's own faults: a load that is reported
// late and doubled, a deadline that ends the work, and a server that says it is
// healthy and answers nothing.
func TestServerMisleads(t *testing.T) {
	g := NewWithT(t)
	honest := serve(t, 1, func(*stand.ServerConfig) {})
	late := serve(t, 2, func(c *stand.ServerConfig) { c.LoadLag, c.LoadFactor = time.Hour, 2 })
	silent := serve(t, 3, func(c *stand.ServerConfig) { c.Silent = true })
	g.Expect(running(g, late)).To(BeZero())
	ctx, cancel := context.WithCancel(context.Background())
	go post(ctx, honest, "60")
	go post(ctx, late, "60")
	g.Eventually(func() float64 { return running(g, honest) }, "5s").Should(Equal(1.0))
	g.Expect(running(g, late)).To(BeZero())
	cancel()
	g.Eventually(func() float64 { return running(g, honest) }, "5s").Should(BeZero())
	g.Expect(post(context.Background(), honest, "0.05")).To(HaveOccurred())
	resp, err := http.Get(silent + "/health")
	g.Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	g.Expect(post(context.Background(), silent, "0.05")).To(HaveOccurred())
}
