package demo_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"boragepost/io/client"
	"boragepost/io/ctrl"
	"boragepost/io/demo"
	"boragepost/io/entry"
	"boragepost/io/logs"
	"boragepost/io/stand"
)

// BenchmarkShortBehindLong places short requests of 4 ms and long ones of 200 ms
// through six gateways before 14 backend servers with 2 slots. It reports the
// latency of short requests by sharing policy, with and without a long lane.
func BenchmarkShortBehindLong(b *testing.B) {
	for _, policy := range []string{"random", "leastInFlight", "twoChoices"} {
		for _, lane := range []bool{false, true} {
			b.Run(fmt.Sprintf("%s/lane=%v", policy, lane), func(b *testing.B) {
				for b.Loop() {
					r := shortBehindLong(b, policy, lane)
					b.ReportMetric(float64(r.ShortP50.Microseconds())/1000, "p50ms")
					b.ReportMetric(float64(r.ShortP99.Microseconds())/1000, "p99ms")
					b.ReportMetric(float64(r.LongP99.Microseconds())/1000, "longP99ms")
					b.ReportMetric(float64(r.Answered)/float64(r.Requests), "answered")
				}
			})
		}
	}
}

func shortBehindLong(b *testing.B, policy string, lane bool) stand.RequestReport {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	site, err := demo.NewTopology(b.TempDir(), 1)
	check(b, err)
	for _, c := range site.Controls {
		r, err := ctrl.Start(ctx, ctrl.Config{Settings: c, Log: logs.Discard()})
		check(b, err)
		defer r.Close()
	}
	api := &client.Client{Endpoints: site.ControlEndpoints(), Actor: "benchmark", Attempts: 50}
	svc := site.Services[0]
	svc.Sharing, svc.LongRoutes = policy, nil
	if lane {
		svc.LongRoutes = []string{"/long"}
	}
	_, err = api.PutService(ctx, svc, 0)
	check(b, err)
	for _, s := range site.Entries {
		e, err := entry.Start(ctx, entry.Config{Settings: s, Log: logs.Discard()})
		check(b, err)
		defer e.Close()
	}
	for _, s := range site.Servers[:14] {
		s.ColdTime = 0
		_, err := stand.StartServer(ctx, s)
		check(b, err)
	}
	for list, err := api.Servers(ctx); err != nil || len(list.Items) < 14; list, err = api.Servers(ctx) {
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(5 * time.Second) // until the backend servers count as warm
	return placeOrders(site)
}

func placeOrders(site *demo.Topology) stand.RequestReport {
	const seconds, rate, longShare = 8, 400, 0.15
	ctx, stop := context.WithTimeout(context.Background(), seconds*time.Second)
	defer stop()
	orders := stand.StartRequestGenerator(ctx, stand.RequestGeneratorConfig{
		Gateways: site.Gateways(), Service: "comptoir", Rate: rate, LongFraction: longShare,
		Timeout: 5 * time.Second, Prefix: "order", Seed: 1,
	})
	<-ctx.Done()
	orders.Wait()
	return orders.Report()
}

func check(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}
