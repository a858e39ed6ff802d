package gate

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"boragepost/core/model"
)

// result is the outcome of sending a request. If response is set, finish must be
// called with the error that ended the reading of the body, or nil.
type result struct {
	response *http.Response
	outcome  Outcome
	detail   string
	finish   func(error)
}

// dispatch sends a request to one backend server after another until one has
// run it or may have run it. A request with an idempotent method is also
// retried if it may have run. Retries are limited by the retry budget.
func (g *Gateway) dispatch(ctx context.Context, c *call) result {
	tried := map[model.ServerID]bool{}
	last := result{outcome: NotRun, detail: "the service has no backend server that takes work"}
	mayHaveRun := false
	for ctx.Err() == nil {
		server, ok := c.pool.acquire(c.class, tried)
		if !ok {
			break
		}
		tried[server.ID] = true
		last = g.attempt(ctx, c, server)
		if last.response != nil {
			return last
		}
		mayHaveRun = mayHaveRun || last.outcome == Unknown
		if mayHaveRun && !c.idempotent || !c.pool.withdrawRetry() {
			break
		}
		g.retries.Inc()
	}
	if len(tried) == 0 && c.pool.isEvacuated() {
		g.evacuated.Inc()
		last.detail = "all backend servers of the service are in evacuated availability zones"
	}
	if ctx.Err() != nil && len(tried) == 0 {
		last.detail = "the deadline passed before the request could be sent"
	}
	if mayHaveRun {
		last.outcome = Unknown
	}
	return last
}

// attempt sends a request to one backend server.
func (g *Gateway) attempt(ctx context.Context, c *call, server model.BackendServer) result {
	start := time.Now()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { sent.Store(true) },
		WroteHeaders:     func() { sent.Store(true) },
	})
	release := func(failed bool) { c.pool.release(server.ID, c.class, time.Since(start), failed) }
	resp, err := g.transport.RoundTrip(c.outgoing(ctx, server))
	switch {
	case err != nil:
		release(!errors.Is(ctx.Err(), context.Canceled))
		if !sent.Load() {
			return result{outcome: NotRun, detail: fmt.Sprintf("backend server %s could not be reached", server.Name)}
		}
		return result{outcome: Unknown, detail: fmt.Sprintf("backend server %s did not answer", server.Name)}
	case resp.Header.Get(HeaderRequestID) != "" && resp.Header.Get(HeaderRequestID) != c.id:
		resp.Body.Close()
		release(true)
		return result{outcome: Unknown, detail: fmt.Sprintf("backend server %s answered another request", server.Name)}
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderShed) != "":
		io.Copy(io.Discard, io.LimitReader(resp.Body, maxShedBodyBytes))
		resp.Body.Close()
		release(false)
		return result{outcome: NotRun, detail: fmt.Sprintf("backend server %s is full", server.Name)}
	}
	return result{response: resp, outcome: Answered, finish: func(err error) {
		resp.Body.Close()
		release(err != nil)
	}}
}

// maxShedBodyBytes limits how much of the body of a load-shedding response is
// read to keep its connection reusable.
const maxShedBodyBytes = 4 << 10

// outgoing builds the request to a backend server.
func (c *call) outgoing(ctx context.Context, server model.BackendServer) *http.Request {
	url := *c.req.URL
	url.Scheme, url.Host = "http", server.HTTP.String()
	out := (&http.Request{
		Method: c.req.Method, URL: &url, Host: c.service, Header: http.Header{},
		Body: c.bodyReader(), ContentLength: int64(len(c.body)),
	}).WithContext(ctx)
	copyHeader(out.Header, c.req.Header)
	out.Header.Set(HeaderRequestID, c.id)
	if deadline, ok := ctx.Deadline(); ok {
		out.Header.Set(HeaderTimeout, fmt.Sprintf("%.3f", time.Until(deadline).Seconds()))
	}
	return out
}
