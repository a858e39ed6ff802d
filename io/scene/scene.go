// Package scene runs a deployment of real processes for scripted scenario tests:
// it plans the addresses, writes settings files, starts, stops, kills and signals
// processes by name, and fetches the reports of the stand-ins.
//
// The scripts of the scenario tests are in testdata.
//
// # Usage
//
//	d, err := scene.New(dir, seed, programs)
//	err = d.Start("control-1")
//	err = d.Signal("entry-2", syscall.SIGKILL)
//	report, err := d.FlowReport()
package scene

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"go.yaml.in/yaml/v3"

	"boragepost/io/client"
	"boragepost/io/conf"
	"boragepost/io/demo"
	"boragepost/io/stand"
)

const (
	pollInterval   = 50 * time.Millisecond
	requestTimeout = 3 * time.Second
)

// Programs holds the paths of the executables under test.
type Programs struct{ Boragepost, Standin string }

// Deployment is a set of processes that are started by name: control-N, entry-N,
// the backend servers, fabric, flows and orders.
type Deployment struct {
	Topology    *demo.Topology
	API         *client.Client
	programs    Programs
	dir         string
	seed        uint64
	mu          sync.Mutex
	processes   map[string]*process
	reportAddrs map[string]netip.AddrPort
	commands    map[string][]string
}

// process is a started process. err is valid once done is closed.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// New plans a deployment and writes its files below dir.
func New(dir string, seed uint64, p Programs) (*Deployment, error) {
	topology, err := demo.NewTopology(dir, seed)
	if err != nil {
		return nil, err
	}
	d := &Deployment{
		Topology: topology, programs: p, dir: dir, seed: seed,
		processes: map[string]*process{}, reportAddrs: map[string]netip.AddrPort{}, commands: map[string][]string{},
		API: &client.Client{Endpoints: topology.ControlEndpoints(), Actor: "scenario", Attempts: 30},
	}
	return d, d.writeFiles()
}

func (d *Deployment) writeFiles() error {
	var errs []error
	writeInstance := func(role, name string, v any) {
		path := filepath.Join(d.dir, name+".yaml")
		errs = append(errs, writeYAML(path, v))
		d.commands[name] = []string{d.programs.Boragepost, role, "--settings", path}
	}
	for _, c := range d.Topology.Controls {
		writeInstance("control", c.Name, c)
	}
	for _, e := range d.Topology.Entries {
		writeInstance("entry", e.Name, e)
	}
	for _, b := range d.Topology.Servers {
		errs = append(errs, d.writeStandIn("server", b.Name, b))
	}
	errs = append(errs, d.writeStandIn("fabric", "fabric", stand.FabricConfig{
		Listen: d.Topology.Fabric, Entries: d.Topology.EntryPoints(), Seed: d.seed,
		Loss: 0.01, Duplicate: 0.005, Reorder: 0.02,
	}))
	errs = append(errs, d.writeStandIn("flows", "flows", stand.FlowGeneratorConfig{
		Fabric: d.Topology.Fabric, Services: d.Topology.Addresses(), Count: 300, Interval: 100 * time.Millisecond,
		Lifetime: 200, UDPFraction: 0.1, Seed: d.seed,
	}))
	errs = append(errs, d.writeStandIn("orders", "orders", stand.RequestGeneratorConfig{
		Gateways: d.Topology.Gateways(), Service: "comptoir", Rate: 40, LongFraction: 0.02,
		Timeout: 10 * time.Second, Prefix: "order", Seed: d.seed,
	}))
	errs = append(errs, writeYAML(filepath.Join(d.dir, "services.yaml"), conf.Services{Services: d.Topology.Services}))
	return errors.Join(errs...)
}

// writeStandIn writes the configuration of a stand-in and records its command
// line. Callers also get an endpoint that serves their report.
func (d *Deployment) writeStandIn(kind, name string, config any) error {
	path := filepath.Join(d.dir, name+".yaml")
	d.commands[name] = []string{d.programs.Standin, kind, "--config", path}
	if kind == "flows" || kind == "orders" {
		addr := netip.AddrPortFrom(d.Topology.Fabric.Addr(), uint16(9500+len(d.reportAddrs)))
		d.reportAddrs[name] = addr
		d.commands[name] = append(d.commands[name], "--report", addr.String())
	}
	return writeYAML(path, config)
}

func writeYAML(path string, v any) error {
	data, err := yaml.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode %s: %w", path, err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	return nil
}

// Names returns the names of the processes that match a pattern, such as
// entry-*, in no particular order. The pattern leader stands for the current
// control leader.
func (d *Deployment) Names(pattern string) []string {
	if pattern == "leader" {
		status, err := d.API.Status(context.Background())
		if err != nil {
			return nil
		}
		return []string{status.Leader}
	}
	var out []string
	for name := range d.commands {
		if ok, err := filepath.Match(pattern, name); ok && err == nil {
			out = append(out, name)
		}
	}
	return out
}

// Start starts a process.
func (d *Deployment) Start(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	args, ok := d.commands[name]
	if !ok {
		return fmt.Errorf("start %s: unknown process", name)
	}
	if previous := d.processes[name]; previous != nil && !previous.hasExited() {
		return fmt.Errorf("start %s: already running", name)
	}
	p := &process{cmd: exec.Command(args[0], args[1:]...), done: make(chan struct{})}
	log, err := os.OpenFile(d.logPath(name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	defer log.Close() // the process has its own descriptor
	p.cmd.Stderr = log
	p.cmd.Env = os.Environ()
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	d.processes[name] = p
	return nil
}

func (d *Deployment) logPath(name string) string { return filepath.Join(d.dir, name+".log") }

// Log returns what all processes of a name have logged, or "" if none was started.
func (d *Deployment) Log(name string) string {
	text, err := os.ReadFile(d.logPath(name))
	if err != nil {
		return ""
	}
	return string(text)
}

func (p *process) hasExited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// IsRunning reports whether a process is running.
func (d *Deployment) IsRunning(name string) bool {
	_, err := d.process(name)
	return err == nil
}

// Signal sends a signal to a process.
func (d *Deployment) Signal(name string, sig syscall.Signal) error {
	p, err := d.process(name)
	if err != nil {
		return err
	}
	return p.cmd.Process.Signal(sig)
}

// Crash kills a process and waits until it has exited.
func (d *Deployment) Crash(name string) error {
	p, err := d.process(name)
	if err != nil {
		return err
	}
	if err := p.cmd.Process.Kill(); err != nil {
		return fmt.Errorf("crash %s: %w", name, err)
	}
	<-p.done
	return nil
}

// Stop sends SIGTERM to a process and waits until it has exited. It returns an
// error if the process fails or does not exit in time.
func (d *Deployment) Stop(name string, timeout time.Duration) error {
	p, err := d.process(name)
	if err != nil {
		return err
	}
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		if p.err != nil {
			return fmt.Errorf("stop %s: %w: %s", name, p.err, d.Log(name))
		}
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("stop %s: still running after %v", name, timeout)
	}
}

func (d *Deployment) process(name string) (*process, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.processes[name]
	if p == nil || p.hasExited() {
		return nil, fmt.Errorf("%s is not running", name)
	}
	return p, nil
}

// Wipe removes the data directory of a stopped control replica.
func (d *Deployment) Wipe(name string) error {
	if _, err := d.process(name); err == nil {
		return fmt.Errorf("wipe %s: still running", name)
	}
	return os.RemoveAll(filepath.Join(d.Topology.Dir, name))
}

// Close kills every running process and waits until all have exited.
func (d *Deployment) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.processes {
		if !p.hasExited() {
			p.cmd.Process.Signal(syscall.SIGCONT)
			p.cmd.Process.Kill()
		}
	}
	for _, p := range d.processes {
		<-p.done
	}
}

// FlowReport returns the report of the flow generator.
func (d *Deployment) FlowReport() (stand.FlowReport, error) {
	return fetch[stand.FlowReport](d.reportAddrs["flows"].String() + "/")
}

// RequestReport returns the report of the request generator.
func (d *Deployment) RequestReport() (stand.RequestReport, error) {
	return fetch[stand.RequestReport](d.reportAddrs["orders"].String() + "/")
}

// ServerReports returns the reports of all running backend servers.
func (d *Deployment) ServerReports() ([]stand.ServerReport, error) {
	var out []stand.ServerReport
	for _, b := range d.Topology.Servers {
		if _, err := d.process(b.Name); err != nil {
			continue
		}
		report, err := fetch[stand.ServerReport](b.HTTP.String() + "/ledger")
		if err != nil {
			return nil, err
		}
		out = append(out, report)
	}
	return out, nil
}

// IsReady reports whether an instance serves a successful readiness probe. A
// stand-in counts as ready while it is running.
func (d *Deployment) IsReady(name string) bool {
	for _, c := range d.Topology.Controls {
		if c.Name == name {
			return returnsOK(c.Listen.String() + "/readyz")
		}
	}
	for _, e := range d.Topology.Entries {
		if e.Name == name {
			return returnsOK(e.Peer.String() + "/readyz")
		}
	}
	_, err := d.process(name)
	return err == nil
}

var httpClient = &http.Client{Timeout: requestTimeout}

func returnsOK(address string) bool {
	resp, err := httpClient.Get("http://" + address)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func fetch[T any](address string) (T, error) {
	var v T
	resp, err := httpClient.Get("http://" + address)
	if err != nil {
		return v, fmt.Errorf("fetch report: %w", err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&v); err != nil {
		return v, fmt.Errorf("fetch report: %w", err)
	}
	return v, nil
}

// Wait polls a condition until it is true and reports whether that happened in
// time.
func Wait(timeout time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		if condition() {
			return true
		}
		time.Sleep(pollInterval)
	}
	return condition()
}

// Field returns the number that a report has under a JSON name, such as broken.
func Field(report any, name string) (float64, error) {
	data, err := json.Marshal(report)
	if err != nil {
		return 0, fmt.Errorf("read report: %w", err)
	}
	var fields map[string]any
	if err := json.Unmarshal(data, &fields); err != nil {
		return 0, fmt.Errorf("read report: %w", err)
	}
	v, ok := fields[name].(float64)
	if !ok {
		return 0, fmt.Errorf("read report: no number field %s in %s", name, strings.TrimSpace(string(data)))
	}
	return v, nil
}
