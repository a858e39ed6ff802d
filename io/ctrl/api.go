package ctrl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"boragepost/core/model"
	"boragepost/core/share"
	"boragepost/io/links"
	"boragepost/io/proto"
)

// Headers of the resource API.
const (
	// HeaderActor identifies the author of a change for the audit trail.
	HeaderActor = "Boragepost-Actor"
	// HeaderRequestID makes a change idempotent.
	HeaderRequestID = "Request-Id"
	// HeaderResourceVersion carries the log index that a response reflects.
	HeaderResourceVersion = "Boragepost-Resource-Version"
	// HeaderMinResourceVersion makes a read wait until the replica that answers it has
	// applied this log index. Without it a replica answers from the state that it has.
	HeaderMinResourceVersion = "Boragepost-Min-Resource-Version"

	maxBodyBytes = 1 << 20
)

// List is the body of a response with several resources.
type List[T any] struct {
	Items           []T    `json:"items"`
	ResourceVersion uint64 `json:"resourceVersion"`
}

// Problem is the body of an error response (application/problem+json).
type Problem struct {
	Type     string             `json:"type"`
	Title    string             `json:"title"`
	Status   int                `json:"status"`
	Detail   string             `json:"detail,omitempty"`
	Expected uint64             `json:"expectedResourceVersion,omitempty"`
	Current  uint64             `json:"currentResourceVersion,omitempty"`
	Fields   []model.FieldError `json:"fields,omitempty"`
}

var _ error = (*Problem)(nil)

// Error implements error.
func (p *Problem) Error() string {
	text := p.Title
	if p.Detail != "" {
		text += ": " + p.Detail
	}
	for _, f := range p.Fields {
		text += "; " + f.Error()
	}
	if p.Expected != p.Current {
		text += fmt.Sprintf(": expected resource version %d, current is %d", p.Expected, p.Current)
	}
	return text
}

// ServiceView is a service with its status.
type ServiceView struct {
	model.Service
	Status ServiceStatus `json:"status"`
}

// ServiceStatus describes which generation of the service is in force in which
// availability zone.
type ServiceStatus struct {
	ObservedGeneration uint64          `json:"observedGeneration"`
	Zones              []ZoneCondition `json:"zones"`
}

// ZoneCondition describes whether the latest generation is in force in an
// availability zone.
type ZoneCondition struct {
	Zone            string `json:"zone"`
	InForce         bool   `json:"inForce"`
	ObservedVersion uint64 `json:"observedResourceVersion"`
	Instances       int    `json:"instances"`
}

func (r *Replica) routes(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(proto.EntryPath, links.Handler(ctx, &r.meter, r.serveEntry))
	mux.Handle(proto.ReplicaPath, links.Handler(ctx, &r.meter, r.serveReplica))
	mux.Handle("GET /metrics", promhttp.HandlerFor(r.newRegistry(), promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", r.getReady)
	mux.HandleFunc("GET /v1/services", r.listServices)
	mux.HandleFunc("GET /v1/services/{name}", r.getService)
	mux.HandleFunc("PUT /v1/services/{name}", r.putService)
	mux.HandleFunc("DELETE /v1/services/{name}", r.deleteService)
	mux.HandleFunc("GET /v1/backendServers", r.listServers)
	mux.HandleFunc("POST /v1/backendServers/{service}/{name}/drain", r.drainServer)
	mux.HandleFunc("GET /v1/instances", r.listInstances)
	mux.HandleFunc("GET /v1/evacuations", r.listEvacuations)
	// An empty name gets the same error as other invalid ones.
	for _, pattern := range []string{"/v1/evacuations/{zone}", "/v1/evacuations/{$}"} {
		mux.HandleFunc("GET "+pattern, r.getEvacuation)
		mux.HandleFunc("PUT "+pattern, r.putEvacuation)
		mux.HandleFunc("DELETE "+pattern, r.deleteEvacuation)
	}
	mux.HandleFunc("GET /v1/status", r.getStatus)
	mux.HandleFunc("GET /v1/audit", r.listAudit)
	mux.HandleFunc("GET /v1/watch", r.watch)
	return http.MaxBytesHandler(mux, maxBodyBytes)
}

func writeJSON(w http.ResponseWriter, status int, version uint64, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderResourceVersion, strconv.FormatUint(version, 10))
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

func writeProblem(w http.ResponseWriter, p Problem) {
	p.Type = "about:blank"
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	json.NewEncoder(w).Encode(p)
}

func writeCommandError(w http.ResponseWriter, c *model.CommandError) {
	status := map[model.Reason]int{
		model.ReasonConflict: http.StatusConflict,
		model.ReasonNotFound: http.StatusNotFound,
		model.ReasonInvalid:  http.StatusUnprocessableEntity,
	}[c.Reason]
	writeProblem(w, Problem{Title: string(c.Reason), Status: status, Detail: c.Message,
		Expected: c.Expected, Current: c.Current})
}

func writeUnconfirmed(w http.ResponseWriter, err error) {
	status, title := http.StatusGatewayTimeout, "notConfirmed"
	switch {
	case errors.Is(err, ErrNoQuorum):
		status, title = http.StatusServiceUnavailable, "noQuorum"
	case errors.Is(err, ErrUnavailable):
		status, title = http.StatusServiceUnavailable, "unavailable"
	}
	writeProblem(w, Problem{Title: title, Status: status,
		Detail: err.Error() + "; send it again with the same " + HeaderRequestID})
}

// readTimeout is how long a read waits for its minimum resource version: two election
// timeouts. A replica that is further behind is cut off, and another one can answer.
const readTimeout = 2 * electionTicks * tickInterval

// readState runs f on the event loop for an API call, once the state has reached the
// call's minimum resource version. It reports false after it has refused the call because
// that took too long, or because the event loop has stopped or waits for the disk.
func (r *Replica) readState(w http.ResponseWriter, req *http.Request, f func()) bool {
	minVersion, ok := parseMinVersion(w, req)
	if !ok {
		return false
	}
	timeout := time.NewTimer(readTimeout)
	defer timeout.Stop()
	for {
		var applied chan struct{} // nil if f has run
		if !r.callOnLoop(func() {
			if r.state.Index() < minVersion {
				applied = r.applied
				return
			}
			f()
		}) {
			writeUnconfirmed(w, ErrUnavailable)
			return false
		}
		if applied == nil {
			return true
		}
		select {
		case <-applied:
		case <-timeout.C:
			writeProblem(w, Problem{Title: "behind", Status: http.StatusServiceUnavailable,
				Detail: fmt.Sprintf("this replica has not applied resource version %d", minVersion)})
			return false
		case <-req.Context().Done():
			return false
		case <-r.stopped:
		}
	}
}

func parseMinVersion(w http.ResponseWriter, req *http.Request) (uint64, bool) {
	text := req.Header.Get(HeaderMinResourceVersion)
	if text == "" {
		return 0, true
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		writeProblem(w, Problem{Title: "malformed", Status: http.StatusBadRequest,
			Detail: HeaderMinResourceVersion + " must be a resource version"})
		return 0, false
	}
	return version, true
}

// submit proposes a command for an API call and writes the outcome.
func (r *Replica) submit(w http.ResponseWriter, req *http.Request, c model.Command) {
	c.Actor = req.Header.Get(HeaderActor)
	if c.Actor == "" {
		c.Actor = "anonymous"
	}
	c.RequestID = req.Header.Get(HeaderRequestID)
	result, err := r.Submit(req.Context(), c)
	switch {
	case err != nil:
		writeUnconfirmed(w, err)
	case result.Failure != nil:
		writeCommandError(w, result.Failure)
	default:
		r.logChange(c, result)
		writeJSON(w, http.StatusOK, result.Index, Accepted{
			Generation: result.Generation, ResourceVersion: result.Index})
	}
}

// Accepted is the body of the response to an accepted change.
type Accepted struct {
	Generation      uint64 `json:"generation"`
	ResourceVersion uint64 `json:"resourceVersion"`
}

func (r *Replica) logChange(c model.Command, result model.Result) {
	r.log.WithField("actor", c.Actor).WithField("resourceVersion", result.Index).
		WithField("requestId", c.RequestID).Info("changeAccepted")
}

func (r *Replica) putService(w http.ResponseWriter, req *http.Request) {
	var svc model.Service
	decoder := json.NewDecoder(req.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&svc); err != nil {
		writeProblem(w, Problem{Title: "malformed", Status: http.StatusBadRequest, Detail: err.Error()})
		return
	}
	expectedVersion, force, ok := precondition(w, req)
	if !ok {
		return
	}
	if svc.Name == "" {
		svc.Name = req.PathValue("name")
	}
	errs := svc.Validate()
	if svc.Name != req.PathValue("name") {
		errs = append(errs, model.FieldError{Path: "name", Text: "differs from the name in the path"})
	}
	if _, err := share.Policies.Find(svc.Sharing); svc.Sharing != "" && err != nil {
		errs = append(errs, model.FieldError{Path: "sharing", Text: err.Error()})
	}
	if len(errs) > 0 {
		writeProblem(w, Problem{Title: "invalid", Status: http.StatusUnprocessableEntity, Fields: errs})
		return
	}
	r.submit(w, req, model.Command{PutService: &model.PutService{Service: svc, ExpectedVersion: expectedVersion, Force: force}})
}

// precondition parses If-Match: a resource version, 0 for a resource that must
// not exist yet, or * for any version. A change without the header is rejected.
func precondition(w http.ResponseWriter, req *http.Request) (expectedVersion uint64, force, ok bool) {
	text := strings.Trim(req.Header.Get("If-Match"), `"`)
	if text == "*" {
		return 0, true, true
	}
	expectedVersion, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		writeProblem(w, Problem{Title: "preconditionRequired", Status: http.StatusPreconditionRequired,
			Detail: "If-Match must be a resource version, 0 to create, or *"})
		return 0, false, false
	}
	return expectedVersion, false, true
}

func (r *Replica) deleteService(w http.ResponseWriter, req *http.Request) {
	expectedVersion, force, ok := precondition(w, req)
	if !ok {
		return
	}
	r.submit(w, req, model.Command{DeleteService: &model.DeleteService{
		Name: req.PathValue("name"), ExpectedVersion: expectedVersion, Force: force}})
}

func (r *Replica) drainServer(w http.ResponseWriter, req *http.Request) {
	r.submit(w, req, model.Command{Drain: &model.Drain{
		Service: req.PathValue("service"), Name: req.PathValue("name")}})
}

func (r *Replica) listServices(w http.ResponseWriter, req *http.Request) {
	zoneConditions := r.zoneConditions(req.Context())
	var list List[ServiceView]
	if !r.readState(w, req, func() {
		list.ResourceVersion = r.state.Index()
		for _, svc := range r.state.Services() {
			list.Items = append(list.Items, newServiceView(svc, zoneConditions))
		}
	}) {
		return
	}
	writeJSON(w, http.StatusOK, list.ResourceVersion, list)
}

func (r *Replica) getService(w http.ResponseWriter, req *http.Request) {
	zoneConditions := r.zoneConditions(req.Context())
	var svc model.Service
	var found bool
	var version uint64
	if !r.readState(w, req, func() {
		svc, found = r.state.Service(req.PathValue("name"))
		version = r.state.Index()
	}) {
		return
	}
	if !found {
		writeCommandError(w, &model.CommandError{Reason: model.ReasonNotFound,
			Message: "service/" + req.PathValue("name") + " does not exist"})
		return
	}
	writeJSON(w, http.StatusOK, version, newServiceView(svc, zoneConditions))
}

// zoneConditions returns the version that is in force in each availability
// zone, or nil if there is no leader.
func (r *Replica) zoneConditions(ctx context.Context) []ZoneCondition {
	reply, err := r.callLeader(ctx, proto.Forward{Status: true})
	if err != nil || reply.Status == nil {
		return nil
	}
	var out []ZoneCondition
	for zone, z := range reply.Status.Zones {
		out = append(out, ZoneCondition{Zone: zone, ObservedVersion: z.Applied, Instances: z.Instances})
	}
	sortZones(out)
	return out
}

func newServiceView(svc model.Service, zones []ZoneCondition) ServiceView {
	v := ServiceView{Service: svc, Status: ServiceStatus{ObservedGeneration: svc.Generation}}
	for _, z := range zones {
		z.InForce = z.ObservedVersion >= svc.ResourceVersion
		if !z.InForce {
			v.Status.ObservedGeneration = svc.Generation - 1
		}
		v.Status.Zones = append(v.Status.Zones, z)
	}
	return v
}

func (r *Replica) listServers(w http.ResponseWriter, req *http.Request) {
	var list List[model.BackendServer]
	if !r.readState(w, req, func() { list.Items, list.ResourceVersion = r.state.Servers(), r.state.Index() }) {
		return
	}
	writeJSON(w, http.StatusOK, list.ResourceVersion, list)
}

func (r *Replica) listInstances(w http.ResponseWriter, req *http.Request) {
	var list List[model.Instance]
	if !r.readState(w, req, func() { list.Items, list.ResourceVersion = r.state.Instances(), r.state.Index() }) {
		return
	}
	writeJSON(w, http.StatusOK, list.ResourceVersion, list)
}

func (r *Replica) getStatus(w http.ResponseWriter, req *http.Request) {
	reply, err := r.callLeader(req.Context(), proto.Forward{Status: true})
	if err != nil {
		writeUnconfirmed(w, err)
		return
	}
	writeJSON(w, http.StatusOK, reply.Status.Commit, reply.Status)
}

func (r *Replica) getReady(w http.ResponseWriter, _ *http.Request) {
	ready := false
	r.callOnLoop(func() { ready = r.node.Leader() != "" && !r.node.Recovering() })
	if !ready {
		writeProblem(w, Problem{Title: "noQuorum", Status: http.StatusServiceUnavailable,
			Detail: "this replica follows no leader"})
		return
	}
	fmt.Fprintln(w, "ok")
}

func (r *Replica) listAudit(w http.ResponseWriter, req *http.Request) {
	from, ok := parseFromVersion(w, req)
	if !ok {
		return
	}
	var list List[model.Audit]
	if !r.readState(w, req, func() { list.Items, list.ResourceVersion = r.state.Audit(from), r.state.Index() }) {
		return
	}
	writeJSON(w, http.StatusOK, list.ResourceVersion, list)
}

func parseFromVersion(w http.ResponseWriter, req *http.Request) (uint64, bool) {
	text := req.URL.Query().Get("from")
	if text == "" {
		return 0, true
	}
	from, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		writeProblem(w, Problem{Title: "malformed", Status: http.StatusBadRequest,
			Fields: []model.FieldError{{Path: "from", Text: "must be a resource version"}}})
		return 0, false
	}
	return from, true
}

// watch streams the audit records from a resource version on, one JSON object per
// line, until the client disconnects.
func (r *Replica) watch(w http.ResponseWriter, req *http.Request) {
	from, ok := parseFromVersion(w, req)
	if !ok {
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	flusher := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	for {
		var records []model.Audit
		var applied chan struct{}
		if !r.callOnLoop(func() { records, applied = r.state.Audit(from), r.applied }) {
			return
		}
		for _, a := range records {
			if encoder.Encode(a) != nil {
				return
			}
			from = a.Index + 1
		}
		if flusher.Flush() != nil {
			return
		}
		select {
		case <-applied:
		case <-req.Context().Done():
			return
		case <-r.stopped:
			return
		case <-time.After(watchKeepAlive):
		}
	}
}

const watchKeepAlive = 15 * time.Second
