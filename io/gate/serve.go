package gate

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"boragepost/core/claim"
	"boragepost/core/place"
	"boragepost/core/share"
)

// problem is the body of a response that the gateway itself generates
// (application/problem+json).
type problem struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail"`
	Outcome Outcome `json:"outcome"`
}

// call is a request that the gateway is processing.
type call struct {
	pool       *pool
	service    string
	req        *http.Request
	body       []byte
	id         string
	idempotent bool // the method is idempotent by definition
	class      share.Class
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	start := time.Now()
	service := req.Host
	if host, _, err := net.SplitHostPort(service); err == nil {
		service = host
	}
	p := g.pool(service)
	if p == nil {
		g.reject(w, "", http.StatusNotFound, "unknown service", fmt.Sprintf("no service is named %q", service))
		return
	}
	// The counter is incremented before the check, so that Drain cannot miss a
	// request.
	running := g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.draining.Load() || running > int64(g.cfg.MaxRequests) {
		w.Header().Set("Retry-After", "1")
		g.reject(w, service, http.StatusServiceUnavailable, "not accepting", "the gateway is full or shutting down")
		return
	}
	timeout, err := parseTimeout(req)
	if err != nil {
		g.reject(w, service, http.StatusBadRequest, "malformed", err.Error())
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, int64(g.cfg.MaxBodyBytes)))
	if err != nil {
		g.rejectBody(w, service, err)
		return
	}
	ctx, cancel := context.WithTimeout(req.Context(), timeout-min(timeout/10, responseMargin))
	defer cancel()
	c := &call{pool: p, service: service, req: req, body: body, id: requestID(req), idempotent: isIdempotent(req.Method),
		class: p.classOf(req.URL.Path)}
	p.depositRetry()
	if key := req.Header.Get(HeaderIdempotencyKey); key != "" && !c.idempotent {
		g.serveClaimed(ctx, w, c, claim.Key(service+"\x00"+key))
	} else {
		g.serveDirect(ctx, w, c)
	}
	g.latency.WithLabelValues(service).Observe(time.Since(start).Seconds())
}

// responseMargin is the part of the caller's timeout that is reserved, so that
// the caller receives the outcome before it gives up.
const responseMargin = 200 * time.Millisecond

func (g *Gateway) rejectBody(w http.ResponseWriter, service string, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		g.reject(w, service, http.StatusRequestEntityTooLarge, "body too large",
			fmt.Sprintf("the body must have at most %d bytes", tooLarge.Limit))
		return
	}
	g.reject(w, service, http.StatusBadRequest, "malformed", "the body could not be read")
}

func isIdempotent(method string) bool {
	switch method {
	case http.MethodPost, http.MethodPatch, http.MethodConnect:
		return false
	default:
		return true
	}
}

func requestID(req *http.Request) string {
	if id := req.Header.Get(HeaderRequestID); id != "" {
		return id
	}
	return strconv.FormatUint(rand.Uint64(), 36)
}

// parseTimeout returns the caller's timeout from the request header.
func parseTimeout(req *http.Request) (time.Duration, error) {
	text := req.Header.Get(HeaderTimeout)
	if text == "" {
		return defaultTimeout, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0) {
		return 0, fmt.Errorf("%s must be a positive number of seconds, is %q", HeaderTimeout, text)
	}
	return min(time.Duration(seconds*float64(time.Second)), maxTimeout), nil
}

// reject responds that the request was not run.
func (g *Gateway) reject(w http.ResponseWriter, service string, status int, title, detail string) {
	g.writeProblem(w, service, NotRun, status, title, detail)
}

func (g *Gateway) writeProblem(w http.ResponseWriter, service string, o Outcome, status int, title, detail string) {
	g.outcomes.WithLabelValues(service, string(o)).Inc()
	w.Header().Set(HeaderOutcome, string(o))
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(problem{
		Type: "about:blank", Title: title, Status: status, Detail: detail, Outcome: o})
}

// serveDirect forwards a request without a claim and streams the response.
func (g *Gateway) serveDirect(ctx context.Context, w http.ResponseWriter, c *call) {
	result := g.dispatch(ctx, c)
	if result.response == nil {
		g.writeFailure(w, c, result)
		return
	}
	defer result.finish(nil)
	g.outcomes.WithLabelValues(c.service, string(Answered)).Inc()
	copyHeader(w.Header(), result.response.Header)
	w.Header().Set(HeaderOutcome, string(Answered))
	w.WriteHeader(result.response.StatusCode)
	if err := stream(w, result.response.Body); err != nil {
		// The caller must not mistake a partial body for the complete one, so the
		// connection is aborted.
		panic(http.ErrAbortHandler)
	}
}

// stream copies a response body and flushes after each read, so that long-lived
// responses reach the caller without delay.
func stream(w http.ResponseWriter, body io.Reader) error {
	flusher := http.NewResponseController(w)
	buf := make([]byte, streamBufferBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
			flusher.Flush()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

const streamBufferBytes = 16 << 10

func (g *Gateway) writeFailure(w http.ResponseWriter, c *call, r result) {
	if r.outcome == NotRun {
		w.Header().Set("Retry-After", "1")
		g.reject(w, c.service, http.StatusServiceUnavailable, "not run", r.detail)
		return
	}
	g.writeProblem(w, c.service, Unknown, http.StatusBadGateway, "outcome unknown", r.detail)
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !hopByHop[name] {
			to[name] = values
		}
	}
}

// hopByHop are the headers that belong to one connection (RFC 9110, 7.6.1).
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// serveClaimed forwards a request under a claim on its idempotency key. If the
// key has been claimed before, it responds with the outcome of the first
// attempt.
func (g *Gateway) serveClaimed(ctx context.Context, w http.ResponseWriter, c *call, key claim.Key) {
	proposed := claim.Record{
		State: claim.Running, Attempt: rand.Uint64(), Gateway: g.cfg.Self,
		Time: time.Now().Unix(), Digest: place.Hash(c.req.Method + " " + c.req.URL.RequestURI() + "\x00" + string(c.body)),
	}
	for {
		current, err := g.cfg.Claim(ctx, key, proposed)
		if err != nil {
			go g.releaseClaim(key, proposed)
			g.reject(w, c.service, http.StatusServiceUnavailable, "not run", err.Error())
			return
		}
		if current.Attempt == proposed.Attempt {
			g.runClaimed(ctx, w, c, key, proposed)
			return
		}
		if current.Digest != proposed.Digest {
			g.reject(w, c.service, http.StatusUnprocessableEntity, "key reused",
				"the idempotency key belongs to another request")
			return
		}
		if done := g.serveFirstOutcome(ctx, w, c, current); done {
			return
		}
		select {
		case <-ctx.Done():
			g.writeProblem(w, c.service, Unknown, http.StatusGatewayTimeout, "outcome unknown",
				"an earlier copy of the request has not ended")
			return
		case <-time.After(claimPollInterval):
		}
	}
}

// claimPollInterval is how often a repeated request checks whether the first
// attempt has finished.
const claimPollInterval = 50 * time.Millisecond

// releaseClaim releases a claim that may have been granted although this
// gateway has not received the response. The request has not been sent.
func (g *Gateway) releaseClaim(key claim.Key, record claim.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), claimWriteTimeout)
	defer cancel()
	record.State = claim.NotRun
	if _, err := g.cfg.Claim(ctx, key, record); err != nil {
		g.cfg.Log.WithError(err).Warn("claimNotReleased")
	}
}

const claimWriteTimeout = 5 * time.Second

// serveFirstOutcome responds to a repeated request with the outcome of the
// first attempt. It returns false as long as that attempt is running.
func (g *Gateway) serveFirstOutcome(_ context.Context, w http.ResponseWriter, c *call, current claim.Record) bool {
	switch {
	case current.State == claim.Done && !current.Response.Truncated:
		g.outcomes.WithLabelValues(c.service, string(Answered)).Inc()
		writeStoredResponse(w, *current.Response)
		return true
	case current.State == claim.Done:
		g.writeProblem(w, c.service, Unknown, http.StatusConflict, "already run",
			"the request has run; its answer was too large to keep")
		return true
	case current.State == claim.Unknown, current.State == claim.Running && !g.cfg.IsMember(current.Gateway):
		g.writeProblem(w, c.service, Unknown, http.StatusBadGateway, "outcome unknown",
			"the request may have run; the gateway that sent it lost the answer")
		return true
	default:
		return false
	}
}

func writeStoredResponse(w http.ResponseWriter, stored claim.Response) {
	copyHeader(w.Header(), stored.Header)
	w.Header().Set(HeaderOutcome, string(Answered))
	w.WriteHeader(stored.Status)
	w.Write(stored.Body)
}

// maxStoredBodyBytes limits the size of a response body that is stored for
// repeated requests.
const maxStoredBodyBytes = 16 << 10

// runClaimed forwards a claimed request and records its outcome before it responds to
// the caller, unless that takes longer than the caller waits: then it is recorded
// afterwards, and until then a repeated request waits. It continues if the caller
// disconnects, because a repeated request will need the response.
func (g *Gateway) runClaimed(ctx context.Context, w http.ResponseWriter, c *call, key claim.Key, proposed claim.Record) {
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	result := g.dispatch(ctx, c)
	var stored *claim.Response
	if result.response != nil {
		body, err := io.ReadAll(result.response.Body)
		result.finish(err)
		if err == nil {
			stored = &claim.Response{Status: result.response.StatusCode, Header: result.response.Header, Body: body}
		} else {
			result.outcome, result.detail = Unknown, "the answer broke off"
		}
	}
	recorded := make(chan struct{})
	g.inFlight.Add(1) // Drain waits for the record as well
	go func() {
		defer close(recorded)
		defer g.inFlight.Add(-1)
		g.recordOutcome(key, proposed, result.outcome, stored)
	}()
	select {
	case <-recorded:
	case <-ctx.Done():
	}
	if stored == nil {
		g.writeFailure(w, c, result)
		return
	}
	g.outcomes.WithLabelValues(c.service, string(Answered)).Inc()
	writeStoredResponse(w, *stored)
}

// recordOutcome stores the outcome of a claimed request.
func (g *Gateway) recordOutcome(key claim.Key, record claim.Record, o Outcome, stored *claim.Response) {
	switch {
	case stored != nil && len(stored.Body) > maxStoredBodyBytes:
		record.State, record.Response = claim.Done, &claim.Response{Status: stored.Status, Truncated: true}
	case stored != nil:
		record.State, record.Response = claim.Done, stored
	case o == NotRun:
		record.State = claim.NotRun
	default:
		record.State = claim.Unknown
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimWriteTimeout)
	defer cancel()
	if _, err := g.cfg.Claim(ctx, key, record); err != nil {
		g.cfg.Log.WithError(err).Warn("outcomeNotRecorded")
	}
}

// bodyReader returns the request's body for one attempt. A non-idempotent request
// gets a body that the HTTP transport cannot rewind, so that the transport never
// retries the request on its own.
func (c *call) bodyReader() io.ReadCloser {
	if c.idempotent && len(c.body) == 0 {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(c.body))
}
