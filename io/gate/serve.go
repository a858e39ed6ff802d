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

// problem is the body of an outcome without an answer
// (application/problem+json).
type problem struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail"`
	Outcome Outcome `json:"outcome"`
}

// call is one request on its way through the gateway.
type call struct {
	pool    *pool
	service string
	req     *http.Request
	body    []byte
	id      string
	safe    bool // the method is idempotent by definition
	class   share.Class
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
		g.refuse(w, "", http.StatusNotFound, "unknown service", fmt.Sprintf("no service is named %q", service))
		return
	}
	// The count goes up before the check, so that Drain cannot miss a request.
	running := g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.draining.Load() || running > int64(g.cfg.MaxRequests) {
		w.Header().Set("Retry-After", "1")
		g.refuse(w, service, http.StatusServiceUnavailable, "not accepting", "the gateway is full or shutting down")
		return
	}
	timeout, err := deadline(req)
	if err != nil {
		g.refuse(w, service, http.StatusBadRequest, "malformed", err.Error())
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, int64(g.cfg.MaxBodyBytes)))
	if err != nil {
		g.refuseBody(w, service, err)
		return
	}
	ctx, cancel := context.WithTimeout(req.Context(), timeout-min(timeout/10, answerMargin))
	defer cancel()
	c := &call{pool: p, service: service, req: req, body: body, id: requestID(req), safe: isIdempotent(req.Method),
		class: p.classOf(req.URL.Path)}
	p.started()
	if key := req.Header.Get(HeaderIdempotencyKey); key != "" && !c.safe {
		g.serveClaimed(ctx, w, c, claim.Key(service+"\x00"+key))
	} else {
		g.serveDirect(ctx, w, c)
	}
	g.seconds.WithLabelValues(service).Observe(time.Since(start).Seconds())
}

// answerMargin is kept of the caller's time, so that it learns the outcome before
// it gives up.
const answerMargin = 200 * time.Millisecond

func (g *Gateway) refuseBody(w http.ResponseWriter, service string, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		g.refuse(w, service, http.StatusRequestEntityTooLarge, "body too large",
			fmt.Sprintf("the body must have at most %d bytes", tooLarge.Limit))
		return
	}
	g.refuse(w, service, http.StatusBadRequest, "malformed", "the body could not be read")
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

// deadline returns the caller's timeout.
func deadline(req *http.Request) (time.Duration, error) {
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

// refuse answers that the request was not run.
func (g *Gateway) refuse(w http.ResponseWriter, service string, status int, title, detail string) {
	g.fail(w, service, NotRun, status, title, detail)
}

func (g *Gateway) fail(w http.ResponseWriter, service string, o Outcome, status int, title, detail string) {
	g.outcomes.WithLabelValues(service, string(o)).Inc()
	w.Header().Set(HeaderOutcome, string(o))
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(problem{
		Type: "about:blank", Title: title, Status: status, Detail: detail, Outcome: o})
}

// serveDirect runs a request without a claim and streams its answer.
func (g *Gateway) serveDirect(ctx context.Context, w http.ResponseWriter, c *call) {
	result := g.dispatch(ctx, c)
	if result.response == nil {
		g.failResult(w, c, result)
		return
	}
	defer result.finish(nil)
	g.outcomes.WithLabelValues(c.service, string(Answered)).Inc()
	copyHeader(w.Header(), result.response.Header)
	w.Header().Set(HeaderOutcome, string(Answered))
	w.WriteHeader(result.response.StatusCode)
	if err := stream(w, result.response.Body); err != nil {
		// The caller must not take a part for the whole: the connection ends
		// without the end of the body.
		panic(http.ErrAbortHandler)
	}
}

// stream copies an answer and passes each part on at once, so that long-lived
// answers reach the caller as they come.
func stream(w http.ResponseWriter, body io.Reader) error {
	flusher := http.NewResponseController(w)
	buf := make([]byte, streamBuffer)
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

const streamBuffer = 16 << 10 // bytes

func (g *Gateway) failResult(w http.ResponseWriter, c *call, r result) {
	if r.outcome == NotRun {
		w.Header().Set("Retry-After", "1")
		g.refuse(w, c.service, http.StatusServiceUnavailable, "not run", r.detail)
		return
	}
	g.fail(w, c.service, Unknown, http.StatusBadGateway, "outcome unknown", r.detail)
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

// serveClaimed runs a request under a claim, or returns what became of its
// first run.
func (g *Gateway) serveClaimed(ctx context.Context, w http.ResponseWriter, c *call, key claim.Key) {
	ask := claim.Record{
		State: claim.Running, Attempt: rand.Uint64(), Gateway: g.cfg.Self,
		Time: time.Now().Unix(), Digest: place.Hash(c.req.Method + " " + c.req.URL.RequestURI() + "\x00" + string(c.body)),
	}
	for {
		held, err := g.cfg.Claim(ctx, key, ask)
		if err != nil {
			go g.release(key, ask)
			g.refuse(w, c.service, http.StatusServiceUnavailable, "not run", err.Error())
			return
		}
		if held.Attempt == ask.Attempt {
			g.runClaimed(ctx, w, c, key, ask)
			return
		}
		if held.Digest != ask.Digest {
			g.refuse(w, c.service, http.StatusUnprocessableEntity, "key reused",
				"the idempotency key belongs to another request")
			return
		}
		if done := g.serveFirst(ctx, w, c, held); done {
			return
		}
		select {
		case <-ctx.Done():
			g.fail(w, c.service, Unknown, http.StatusGatewayTimeout, "outcome unknown",
				"an earlier copy of the request has not ended")
			return
		case <-time.After(pollInterval):
		}
	}
}

// pollInterval is how often a resend looks for the end of the first run.
const pollInterval = 50 * time.Millisecond

// release gives a claim back that may have been granted without this gateway
// learning of it. The request has not been sent.
func (g *Gateway) release(key claim.Key, ask claim.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	ask.State = claim.NotRun
	if _, err := g.cfg.Claim(ctx, key, ask); err != nil {
		g.cfg.Log.WithError(err).Warn("claimNotReleased")
	}
}

const recordTimeout = 5 * time.Second

// serveFirst answers a resend by the outcome of the first run. It reports false
// while that is still open.
func (g *Gateway) serveFirst(_ context.Context, w http.ResponseWriter, c *call, held claim.Record) bool {
	switch {
	case held.State == claim.Done && !held.Response.Truncated:
		g.outcomes.WithLabelValues(c.service, string(Answered)).Inc()
		writeStored(w, *held.Response)
		return true
	case held.State == claim.Done:
		g.fail(w, c.service, Unknown, http.StatusConflict, "already run",
			"the request has run; its answer was too large to keep")
		return true
	case held.State == claim.Unknown, held.State == claim.Running && !g.cfg.IsMember(held.Gateway):
		g.fail(w, c.service, Unknown, http.StatusBadGateway, "outcome unknown",
			"the request may have run; the gateway that sent it lost the answer")
		return true
	default:
		return false
	}
}

func writeStored(w http.ResponseWriter, a claim.Response) {
	copyHeader(w.Header(), a.Header)
	w.Header().Set(HeaderOutcome, string(Answered))
	w.WriteHeader(a.Status)
	w.Write(a.Body)
}

// maxStoredAnswer bounds the part of an answer that is kept for resends.
const maxStoredAnswer = 16 << 10 // bytes

// runClaimed sends a claimed request and records its outcome before the caller
// learns of it. The run goes on when the caller leaves, because a resend will
// ask for its answer.
func (g *Gateway) runClaimed(ctx context.Context, w http.ResponseWriter, c *call, key claim.Key, ask claim.Record) {
	limit, _ := ctx.Deadline()
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), limit)
	defer cancel()
	result := g.dispatch(ctx, c)
	var answer *claim.Response
	if result.response != nil {
		body, err := io.ReadAll(result.response.Body)
		result.finish(err)
		if err == nil {
			answer = &claim.Response{Status: result.response.StatusCode, Header: result.response.Header, Body: body}
		} else {
			result.outcome, result.detail = Unknown, "the answer broke off"
		}
	}
	g.record(key, ask, result.outcome, answer)
	if answer == nil {
		g.failResult(w, c, result)
		return
	}
	g.outcomes.WithLabelValues(c.service, string(Answered)).Inc()
	writeStored(w, *answer)
}

// record stores the outcome of a claimed run.
func (g *Gateway) record(key claim.Key, ask claim.Record, o Outcome, answer *claim.Response) {
	switch {
	case answer != nil && len(answer.Body) > maxStoredAnswer:
		ask.State, ask.Response = claim.Done, &claim.Response{Status: answer.Status, Truncated: true}
	case answer != nil:
		ask.State, ask.Response = claim.Done, answer
	case o == NotRun:
		ask.State = claim.NotRun
	default:
		ask.State = claim.Unknown
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if _, err := g.cfg.Claim(ctx, key, ask); err != nil {
		g.cfg.Log.WithError(err).Warn("outcomeNotRecorded")
	}
}

// bodyReader returns the request's body for one attempt. A non-idempotent
// request gets a body that the transport cannot rewind, so that it never sends
// the request a second time by itself.
func (c *call) bodyReader() io.ReadCloser {
	if c.safe && len(c.body) == 0 {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(c.body))
}
