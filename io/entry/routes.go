package entry

import (
	"fmt"
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"boragepost/io/links"
	"boragepost/io/proto"
)

func (e *Entry) peerRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(proto.PeerPath, links.Handler(e.ctx, e.traffic.peerMeter(), e.servePeer))
	mux.HandleFunc("POST /v1/announce", e.serveAnnouncement)
	mux.Handle("GET /metrics", promhttp.HandlerFor(e.newRegistry(), promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !e.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ok")
	})
	return mux
}

// Ready reports whether the fabric should send packets to the instance: it is not
// shutting down, and it has a lease or serves without one.
func (e *Entry) Ready() bool {
	return !e.shuttingDown.Load() && e.balancer.AcceptsNewFlows(e.now())
}
