package demo

import (
	"fmt"
	"time"

	"boragepost/io/stand"
)

// Report holds the results of a demo run as counted by the stand-ins.
type Report struct {
	Flows        int     `json:"flows"`
	BrokenFlows  int     `json:"brokenFlows"`
	Misdelivered int     `json:"misdelivered"`
	Requests     int     `json:"requests"`
	Answered     int     `json:"answered"`
	NotRun       int     `json:"notRun"`
	Unknown      int     `json:"unknown"`
	Lost         int     `json:"lost"`
	Duplicated   int     `json:"doubled"`
	Imbalance    float64 `json:"imbalance"`
	P99ShortMs   float64 `json:"p99ShortMs"`
	ControlBytes int64   `json:"controlBytesPerNodeSec"`

	// The fields below are not part of the summary line.
	P50ShortMs  float64        `json:"p50ShortMs"`
	Packets     int            `json:"packets"`
	Mismatched  int            `json:"crossed"`
	FalseNotRun int            `json:"falseNotRun"`
	Unopened    int            `json:"unopened"`
	Reasons     map[string]int `json:"brokenReasons,omitempty"`
	Seed        uint64         `json:"seed"`
}

// Summary returns the summary as one line.
func (r Report) Summary() string {
	return fmt.Sprintf("demo flows=%d brokenFlows=%d misdelivered=%d requests=%d answered=%d notRun=%d "+
		"unknown=%d lost=%d doubled=%d imbalance=%.2f p99ShortMs=%.1f controlBytesPerNodeSec=%d",
		r.Flows, r.BrokenFlows, r.Misdelivered, r.Requests, r.Answered, r.NotRun,
		r.Unknown, r.Lost, r.Duplicated, r.Imbalance, r.P99ShortMs, r.ControlBytes)
}

// Violations returns the number of events that violate an invariant.
func (r Report) Violations() int {
	return r.BrokenFlows + r.Misdelivered + r.Lost + r.Duplicated + r.Mismatched + r.FalseNotRun
}

func (r *run) report() Report {
	flows, requests := r.flows.Report(), r.requests.Report()
	out := Report{
		Flows: flows.Opened, BrokenFlows: flows.Broken, Unopened: flows.Unopened, Reasons: flows.Reasons,
		Requests: requests.Requests, Answered: requests.Answered, NotRun: requests.NotRun, Unknown: requests.Unknown,
		Lost: requests.Lost, Mismatched: flows.Mismatched + requests.Mismatched,
		P99ShortMs: float64(requests.ShortP99) / float64(time.Millisecond),
		P50ShortMs: float64(requests.ShortP50) / float64(time.Millisecond),
		Seed:       r.opts.Seed,
	}
	var serverReports []stand.ServerReport
	for _, s := range r.servers {
		serverReports = append(serverReports, s.Report())
	}
	out.AddServerReports(serverReports, requests)
	out.Imbalance = r.imbalance(flows)
	out.ControlBytes = r.controlBytes()
	return out
}

// AddServerReports adds the counts that need the reports of the backend servers:
// received and misdelivered packets, duplicated requests, and requests whose outcome
// contradicts whether they ran.
func (r *Report) AddServerReports(serverReports []stand.ServerReport, requests stand.RequestReport) {
	runs := map[string]int{}
	for _, server := range serverReports {
		r.Misdelivered += server.Misdelivered
		r.Packets += server.Packets
		for key, n := range server.Runs {
			runs[key] += n
		}
	}
	for _, n := range runs {
		if n > 1 {
			r.Duplicated++
		}
	}
	for _, key := range requests.NotRunKeys {
		if runs[key] > 0 {
			r.FalseNotRun++
		}
	}
	for _, key := range requests.AnsweredKeys {
		if runs[key] == 0 {
			r.Lost++
		}
	}
}

// imbalance returns the largest ratio, over all services, of the open flows of the
// most loaded backend server to the mean. Draining backend servers do not count.
func (r *run) imbalance(flows stand.FlowReport) float64 {
	draining := map[string]bool{"comptoir-1": true, "catalogue-2": true}
	maxFlows, totalFlows, servers := map[string]int{}, map[string]int{}, map[string]int{}
	for _, s := range r.topology.Servers {
		if draining[s.Name] {
			continue
		}
		n := flows.ByServer[s.Name]
		maxFlows[s.Service] = max(maxFlows[s.Service], n)
		totalFlows[s.Service] += n
		servers[s.Service]++
	}
	worst := 0.0
	for service := range maxFlows {
		if totalFlows[service] > 0 {
			worst = max(worst, float64(maxFlows[service]*servers[service])/float64(totalFlows[service]))
		}
	}
	return worst
}

// controlBytes returns the mean number of control bytes that an entry instance
// sends and receives per second.
func (r *run) controlBytes() int64 {
	total := r.retiredControlBytes
	for _, e := range r.entries {
		total += e.ControlBytes()
	}
	seconds := time.Since(r.callersStartedAt).Seconds()
	return int64(float64(total) / float64(len(r.entries)) / seconds)
}
