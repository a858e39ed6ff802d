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

// BenchmarkShortBehindLong sends short requests of 4 ms and long ones of 200 ms
// through six gateways to 14 backend servers with 2 slots each. It reports the
// latency of short requests per sharing policy, with and without a subset of the
// backend servers for long requests.
func BenchmarkShortBehindLong(b *testing.B) {
	for _, policy := range []string{"random", "leastInFlight", "twoChoices"} {
		for _, subset := range []bool{false, true} {
			b.Run(fmt.Sprintf("%s/subset=%v", policy, subset), func(b *testing.B) {
				for b.Loop() {
					r := shortBehindLong(b, policy, subset)
					b.ReportMetric(float64(r.ShortP50.Microseconds())/1000, "p50ms")
					b.ReportMetric(float64(r.ShortP99.Microseconds())/1000, "p99ms")
					b.ReportMetric(float64(r.LongP99.Microseconds())/1000, "longP99ms")
					b.ReportMetric(float64(r.Answered)/float64(r.Requests), "answered")
				}
			})
		}
	}
}

func shortBehindLong(b *testing.B, policy string, subset bool) stand.RequestReport {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	topology, err := demo.NewTopology(b.TempDir(), 1)
	requireNoError(b, err)
	for _, c := range topology.Controls {
		r, err := ctrl.Start(ctx, ctrl.Config{Settings: c, Log: logs.Discard()})
		requireNoError(b, err)
		defer r.Close()
	}
	api := &client.Client{Endpoints: topology.ControlEndpoints(), Actor: "benchmark", Attempts: 50}
	svc := topology.Services[0]
	svc.Sharing, svc.LongRoutes = policy, nil
	if subset {
		svc.LongRoutes = []string{"/long"}
	}
	_, err = api.PutService(ctx, svc, 0)
	requireNoError(b, err)
	for _, s := range topology.Entries {
		e, err := entry.Start(ctx, entry.Config{Settings: s, Log: logs.Discard()})
		requireNoError(b, err)
		defer e.Close()
	}
	for _, s := range topology.Servers[:14] {
		s.WarmupDelay = 0
		_, err := stand.StartServer(ctx, s)
		requireNoError(b, err)
	}
	for list, err := api.Servers(ctx); err != nil || len(list.Items) < 14; list, err = api.Servers(ctx) {
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(5 * time.Second) // until the warm-up of the backend servers ends
	return sendRequests(topology)
}

func sendRequests(topology *demo.Topology) stand.RequestReport {
	const seconds, rate, longFraction = 8, 400, 0.15
	ctx, stop := context.WithTimeout(context.Background(), seconds*time.Second)
	defer stop()
	requests := stand.StartRequestGenerator(ctx, stand.RequestGeneratorConfig{
		Gateways: topology.Gateways(), Service: "comptoir", Rate: rate, LongFraction: longFraction,
		Timeout: 5 * time.Second, Prefix: "order", Seed: 1,
	})
	<-ctx.Done()
	requests.Wait()
	return requests.Report()
}

func requireNoError(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}
