package demo

import (
	"fmt"
	"time"

	"boragepost/io/stand"
)

// Report is the outcome of a demo, by the counts of the stand-ins.
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

	// Details beyond the summary line.
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

// Violations returns the number of events that must never happen.
func (r Report) Violations() int {
	return r.BrokenFlows + r.Misdelivered + r.Lost + r.Duplicated + r.Mismatched + r.FalseNotRun
}

func (r *run) report() Report {
	flows, orders := r.flows.Report(), r.orders.Report()
	out := Report{
		Flows: flows.Opened, BrokenFlows: flows.Broken, Unopened: flows.Unopened, Reasons: flows.Reasons,
		Requests: orders.Requests, Answered: orders.Answered, NotRun: orders.NotRun, Unknown: orders.Unknown,
		Lost: orders.Lost, Mismatched: flows.Mismatched + orders.Mismatched,
		P99ShortMs: float64(orders.ShortP99) / float64(time.Millisecond),
		P50ShortMs: float64(orders.ShortP50) / float64(time.Millisecond),
		Seed:       r.opts.Seed,
	}
	var ledgers []stand.ServerReport
	for _, s := range r.servers {
		ledgers = append(ledgers, s.Report())
	}
	out.AddServerReports(ledgers, orders)
	out.Imbalance = r.imbalance(flows)
	out.ControlBytes = r.controlBytes()
	return out
}

// AddServerReports fills in what only the backend servers' ledgers can tell.
func (r *Report) AddServerReports(ledgers []stand.ServerReport, orders stand.RequestReport) {
	runs := map[string]int{}
	for _, l := range ledgers {
		r.Misdelivered += l.Misdelivered
		r.Packets += l.Packets
		for key, n := range l.Runs {
			runs[key] += n
		}
	}
	for _, n := range runs {
		if n > 1 {
			r.Duplicated++
		}
	}
	for _, key := range orders.NotRunKeys {
		if runs[key] > 0 {
			r.FalseNotRun++
		}
	}
	for _, key := range orders.AnsweredKeys {
		if runs[key] == 0 {
			r.Lost++
		}
	}
}

// imbalance returns the ratio of the most loaded backend server of a service to
// the mean, by open flows, the worst of all services. Draining backend servers
// are left out.
func (r *run) imbalance(flows stand.FlowReport) float64 {
	draining := map[string]bool{"comptoir-1": true, "catalogue-2": true}
	most, sum, count := map[string]int{}, map[string]int{}, map[string]int{}
	for _, s := range r.site.Servers {
		if draining[s.Name] {
			continue
		}
		n := flows.ByServer[s.Name]
		most[s.Service] = max(most[s.Service], n)
		sum[s.Service] += n
		count[s.Service]++
	}
	worst := 0.0
	for service := range most {
		if sum[service] > 0 {
			worst = max(worst, float64(most[service]*count[service])/float64(sum[service]))
		}
	}
	return worst
}

// controlBytes returns the bytes that an entry instance sends and receives for
// control in a second, on average.
func (r *run) controlBytes() int64 {
	total := r.bytes
	for _, e := range r.entries {
		total += e.ControlBytes()
	}
	seconds := time.Since(r.began).Seconds()
	return int64(float64(total) / float64(len(r.entries)) / seconds)
}
