// Package client implements a client of the control replicas' resource API.
//
// # Usage
//
//	c := &client.Client{Endpoints: []string{"127.0.0.1:9101"}, Actor: "ops"}
//	accepted, err := c.PutService(ctx, service, client.AnyVersion)
//
// A call tries one endpoint after another until one responds; the next call
// starts with that endpoint. Changes carry a request identifier, so that a
// change that is retried takes effect once. Reads carry the highest resource version
// that the client has seen, so that they reflect its own changes and never an older state
// than an earlier read, whichever replica answers.
package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"boragepost/core/model"
	"boragepost/io/ctrl"
	"boragepost/io/proto"
	"boragepost/io/timer"
)

// AnyVersion as the expected resource version disables the check: the change
// applies to any current version.
const AnyVersion = ^uint64(0)

const (
	callTimeout = 6 * time.Second
	retryDelay  = 200 * time.Millisecond
)

// Client calls the control replicas of one deployment. Endpoints must not be
// empty.
type Client struct {
	Endpoints []string
	// Actor is recorded in the audit trail.
	Actor string
	// Attempts is the number of rounds over the endpoints; 0 counts as 1.
	Attempts int
	// lastGood is the index of the endpoint that responded last.
	lastGood atomic.Int32
	// seen is the highest resource version that the client has seen.
	seen atomic.Uint64
}

// ObserveVersion makes all later reads reflect at least a resource version, such as that
// of a change by another client.
func (c *Client) ObserveVersion(version uint64) {
	for {
		seen := c.seen.Load()
		if version <= seen || c.seen.CompareAndSwap(seen, version) {
			return
		}
	}
}

// PutService creates or replaces a service whose current resource version is
// expectedVersion: 0 for a service that must not exist, AnyVersion to skip the
// check. It returns a *ctrl.Problem if the change was rejected.
func (c *Client) PutService(ctx context.Context, svc model.Service, expectedVersion uint64) (ctrl.Accepted, error) {
	svc = svc.WithVersion(0, 0)
	return change(ctx, c, http.MethodPut, "/v1/services/"+svc.Name, svc, expectedVersion)
}

// DeleteService removes a service.
func (c *Client) DeleteService(ctx context.Context, name string, expectedVersion uint64) (ctrl.Accepted, error) {
	return change(ctx, c, http.MethodDelete, "/v1/services/"+name, nil, expectedVersion)
}

// Drain starts draining a backend server, after which it is removed from its
// service.
func (c *Client) Drain(ctx context.Context, service, name string) (ctrl.Accepted, error) {
	return change(ctx, c, http.MethodPost, "/v1/backendServers/"+service+"/"+name+"/drain", nil, AnyVersion)
}

// PutEvacuation evacuates an availability zone: its backend servers get no new flows
// and requests.
func (c *Client) PutEvacuation(ctx context.Context, zone string) (ctrl.Accepted, error) {
	return change(ctx, c, http.MethodPut, evacuationPath(zone), nil, AnyVersion)
}

// DeleteEvacuation ends the evacuation of an availability zone.
func (c *Client) DeleteEvacuation(ctx context.Context, zone string) (ctrl.Accepted, error) {
	return change(ctx, c, http.MethodDelete, evacuationPath(zone), nil, AnyVersion)
}

// evacuationPath escapes dots too, because servers remove the path elements . and ..
func evacuationPath(zone string) string {
	return "/v1/evacuations/" + strings.ReplaceAll(url.PathEscape(zone), ".", "%2E")
}

// Evacuations returns the evacuated availability zones.
func (c *Client) Evacuations(ctx context.Context) (ctrl.List[ctrl.EvacuationView], error) {
	return get[ctrl.List[ctrl.EvacuationView]](ctx, c, "/v1/evacuations")
}

// Service returns one service.
func (c *Client) Service(ctx context.Context, name string) (ctrl.ServiceView, error) {
	return get[ctrl.ServiceView](ctx, c, "/v1/services/"+name)
}

// Services returns all services.
func (c *Client) Services(ctx context.Context) (ctrl.List[ctrl.ServiceView], error) {
	return get[ctrl.List[ctrl.ServiceView]](ctx, c, "/v1/services")
}

// Servers returns all backend servers.
func (c *Client) Servers(ctx context.Context) (ctrl.List[model.BackendServer], error) {
	return get[ctrl.List[model.BackendServer]](ctx, c, "/v1/backendServers")
}

// Instances returns all entry instances.
func (c *Client) Instances(ctx context.Context) (ctrl.List[model.Instance], error) {
	return get[ctrl.List[model.Instance]](ctx, c, "/v1/instances")
}

// Status returns the leader's view of the deployment.
func (c *Client) Status(ctx context.Context) (proto.Status, error) {
	return get[proto.Status](ctx, c, "/v1/status")
}

// Audit returns the audit trail from a resource version on.
func (c *Client) Audit(ctx context.Context, from uint64) (ctrl.List[model.Audit], error) {
	return get[ctrl.List[model.Audit]](ctx, c, "/v1/audit?from="+strconv.FormatUint(from, 10))
}

// Watch calls f for each change from a resource version on, until ctx ends or f
// returns an error. If an endpoint fails, it resumes at the next one.
func (c *Client) Watch(ctx context.Context, from uint64, f func(model.Audit) error) error {
	for round := 0; ctx.Err() == nil; round++ {
		next, err := c.watchOnce(ctx, c.Endpoints[round%len(c.Endpoints)], from, f)
		from = next
		if err != nil {
			return err
		}
		timer.Sleep(ctx, retryDelay)
	}
	return ctx.Err()
}

// watchOnce watches one endpoint until the stream ends and returns the version to
// resume from. It returns an error only if f does or the request is invalid.
func (c *Client) watchOnce(ctx context.Context, endpoint string, from uint64, f func(model.Audit) error) (uint64, error) {
	url := "http://" + endpoint + "/v1/watch?from=" + strconv.FormatUint(from, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return from, fmt.Errorf("watch: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return from, nil
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		var a model.Audit
		if json.Unmarshal(lines.Bytes(), &a) != nil {
			return from, nil
		}
		if err := f(a); err != nil {
			return from, err
		}
		from = a.Index + 1
	}
	return from, nil
}

func change(ctx context.Context, c *Client, method, path string, body any, expectedVersion uint64) (ctrl.Accepted, error) {
	header := http.Header{}
	header.Set(ctrl.HeaderActor, c.Actor)
	header.Set(ctrl.HeaderRequestID, strconv.FormatUint(rand.Uint64(), 36))
	header.Set("If-Match", strconv.FormatUint(expectedVersion, 10))
	if expectedVersion == AnyVersion {
		header.Set("If-Match", "*")
	}
	return call[ctrl.Accepted](ctx, c, method, path, header, body)
}

func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	header := http.Header{}
	if seen := c.seen.Load(); seen > 0 {
		header.Set(ctrl.HeaderMinResourceVersion, strconv.FormatUint(seen, 10))
	}
	return call[T](ctx, c, http.MethodGet, path, header, nil)
}

// call tries the endpoints in turn until one returns a final response. Any other
// response, or none, leaves the outcome open.
func call[T any](ctx context.Context, c *Client, method, path string, header http.Header, body any) (T, error) {
	var zero T
	data, err := json.Marshal(body)
	if err != nil {
		return zero, fmt.Errorf("encode request: %w", err)
	}
	var lastErr error
	for range max(c.Attempts, 1) {
		first := int(c.lastGood.Load())
		for i := range c.Endpoints {
			index := (first + i) % len(c.Endpoints)
			v, err := callOnce[T](ctx, c, method, "http://"+c.Endpoints[index]+path, header, data)
			if err == nil || isFinal(err) {
				c.lastGood.Store(int32(index))
				return v, err
			}
			lastErr = err
		}
		timer.Sleep(ctx, retryDelay)
		if ctx.Err() != nil {
			break
		}
	}
	return zero, lastErr
}

// isFinal reports whether another endpoint would return the same error.
func isFinal(err error) bool {
	var p *ctrl.Problem
	return errors.As(err, &p) && p.Status < http.StatusInternalServerError
}

func callOnce[T any](ctx context.Context, c *Client, method, url string, header http.Header, data []byte) (T, error) {
	var v T
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return v, fmt.Errorf("%s %s: %w", method, url, err)
	}
	req.Header = header.Clone()
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return v, fmt.Errorf("%s %s: %w", method, url, err)
	}
	defer resp.Body.Close()
	payload, err := io.ReadAll(resp.Body)
	if err != nil {
		return v, fmt.Errorf("%s %s: read response: %w", method, url, err)
	}
	if resp.StatusCode != http.StatusOK {
		return v, decodeProblem(resp, payload)
	}
	if err := json.Unmarshal(payload, &v); err != nil {
		return v, fmt.Errorf("%s %s: decode response: %w", method, url, err)
	}
	version, err := strconv.ParseUint(resp.Header.Get(ctrl.HeaderResourceVersion), 10, 64)
	if err != nil {
		return v, fmt.Errorf("%s %s: read resource version: %w", method, url, err)
	}
	c.ObserveVersion(version)
	return v, nil
}

func decodeProblem(resp *http.Response, payload []byte) error {
	p := &ctrl.Problem{}
	if json.Unmarshal(payload, p) != nil || p.Title == "" {
		p.Title = resp.Status
	}
	p.Status = resp.StatusCode
	return p
}
