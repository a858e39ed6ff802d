// Package scene drives a deployment of real processes for scripted scenarios:
// it plans the addresses, writes settings files, starts, stops, kills and
// freezes processes by name, and reads what the stand-ins counted.
//
// It is used by the scenario tests, whose scripts are in testdata.
//
// # Usage
//
//	s, err := scene.New(dir, seed, program)
//	err = s.Start("control-1")
//	err = s.Signal("entry-2", syscall.SIGKILL)
//	report, err := s.Flows()
package scene

import (
	"bytes"
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
	pollInterval = 50 * time.Millisecond
	callTimeout  = 3 * time.Second
)

// Programs are the paths of the programs under test.
type Programs struct{ Boragepost, Standin string }

// Deployment is a deployment whose processes are started by name: control-N, entry-N,
// the backend servers, fabric, flows and orders.
type Deployment struct {
	Topology *demo.Topology
	API      *client.Client
	programs Programs
	dir      string
	seed     uint64
	mu       sync.Mutex
	running  map[string]*process
	reports  map[string]netip.AddrPort
	commands map[string][]string
}

// process is one started process.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
	log  *bytes.Buffer
}

// New plans a deployment and writes its files below dir.
func New(dir string, seed uint64, p Programs) (*Deployment, error) {
	site, err := demo.NewTopology(dir, seed)
	if err != nil {
		return nil, err
	}
	s := &Deployment{
		Topology: site, programs: p, dir: dir, seed: seed,
		running: map[string]*process{}, reports: map[string]netip.AddrPort{}, commands: map[string][]string{},
		API: &client.Client{Endpoints: site.ControlEndpoints(), Actor: "scenario", Attempts: 30},
	}
	return s, s.writeFiles()
}

func (s *Deployment) writeFiles() error {
	var errs []error
	product := func(role, name string, v any) {
		path := filepath.Join(s.dir, name+".yaml")
		errs = append(errs, writeYAML(path, v))
		s.commands[name] = []string{s.programs.Boragepost, role, "--settings", path}
	}
	for _, c := range s.Topology.Controls {
		product("control", c.Name, c)
	}
	for _, e := range s.Topology.Entries {
		product("entry", e.Name, e)
	}
	for _, b := range s.Topology.Servers {
		errs = append(errs, s.standIn("server", b.Name, b))
	}
	errs = append(errs, s.standIn("fabric", "fabric", stand.FabricConfig{
		Listen: s.Topology.Fabric, Entries: s.Topology.EntryPoints(), Seed: s.seed,
		Loss: 0.01, Duplicate: 0.005, Reorder: 0.02,
	}))
	errs = append(errs, s.standIn("flows", "flows", stand.FlowGeneratorConfig{
		Fabric: s.Topology.Fabric, Services: s.Topology.Addresses(), Count: 300, Interval: 100 * time.Millisecond,
		Lifetime: 200, UDPFraction: 0.1, Seed: s.seed,
	}))
	errs = append(errs, s.standIn("orders", "orders", stand.RequestGeneratorConfig{
		Gateways: s.Topology.Gateways(), Service: "comptoir", Rate: 40, LongFraction: 0.02,
		Timeout: 10 * time.Second, Prefix: "order", Seed: s.seed,
	}))
	errs = append(errs, writeYAML(filepath.Join(s.dir, "services.yaml"), conf.Services{Services: s.Topology.Services}))
	return errors.Join(errs...)
}

// standIn writes the configuration of a stand-in. Callers get an endpoint for
// their report.
func (s *Deployment) standIn(kind, name string, config any) error {
	path := filepath.Join(s.dir, name+".yaml")
	s.commands[name] = []string{s.programs.Standin, kind, "--config", path}
	if kind == "flows" || kind == "orders" {
		addr := netip.AddrPortFrom(s.Topology.Fabric.Addr(), uint16(9500+len(s.reports)))
		s.reports[name] = addr
		s.commands[name] = append(s.commands[name], "--report", addr.String())
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
// entry-*, in no order. The pattern leader is the control leader.
func (s *Deployment) Names(pattern string) []string {
	if pattern == "leader" {
		status, err := s.API.Status(context.Background())
		if err != nil {
			return nil
		}
		return []string{status.Leader}
	}
	var out []string
	for name := range s.commands {
		if ok, err := filepath.Match(pattern, name); ok && err == nil {
			out = append(out, name)
		}
	}
	return out
}

// Start starts a process.
func (s *Deployment) Start(name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	args, ok := s.commands[name]
	if !ok {
		return fmt.Errorf("start %s: no such process", name)
	}
	if old := s.running[name]; old != nil && !old.ended() {
		return fmt.Errorf("start %s: runs already", name)
	}
	p := &process{cmd: exec.Command(args[0], args[1:]...), done: make(chan struct{}), log: &bytes.Buffer{}}
	p.cmd.Stderr = p.log
	p.cmd.Env = os.Environ()
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	s.running[name] = p
	return nil
}

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// IsRunning reports whether a process runs.
func (s *Deployment) IsRunning(name string) bool {
	_, err := s.process(name)
	return err == nil
}

// Signal sends a signal to a process.
func (s *Deployment) Signal(name string, sig syscall.Signal) error {
	p, err := s.process(name)
	if err != nil {
		return err
	}
	return p.cmd.Process.Signal(sig)
}

// Crash kills a process and waits for its end.
func (s *Deployment) Crash(name string) error {
	p, err := s.process(name)
	if err != nil {
		return err
	}
	if err := p.cmd.Process.Kill(); err != nil {
		return fmt.Errorf("crash %s: %w", name, err)
	}
	<-p.done
	return nil
}

// Stop ends a process by SIGTERM and waits for it. It returns an error when the
// process fails or does not end in time.
func (s *Deployment) Stop(name string, limit time.Duration) error {
	p, err := s.process(name)
	if err != nil {
		return err
	}
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		if p.err != nil {
			return fmt.Errorf("stop %s: %w: %s", name, p.err, p.log)
		}
		return nil
	case <-time.After(limit):
		return fmt.Errorf("stop %s: still runs after %v", name, limit)
	}
}

func (s *Deployment) process(name string) (*process, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.running[name]
	if p == nil || p.ended() {
		return nil, fmt.Errorf("%s does not run", name)
	}
	return p, nil
}

// Wipe removes the data folder of a control replica that does not run.
func (s *Deployment) Wipe(name string) error {
	if _, err := s.process(name); err == nil {
		return fmt.Errorf("wipe %s: it still runs", name)
	}
	return os.RemoveAll(filepath.Join(s.Topology.Dir, name))
}

// Close kills every process that still runs and waits for them.
func (s *Deployment) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.running {
		if !p.ended() {
			p.cmd.Process.Signal(syscall.SIGCONT)
			p.cmd.Process.Kill()
		}
	}
	for _, p := range s.running {
		<-p.done
	}
}

// Flows returns the report of the caller that holds flows.
func (s *Deployment) Flows() (stand.FlowReport, error) {
	return fetch[stand.FlowReport](s.reports["flows"].String() + "/")
}

// Orders returns the report of the caller that places requests.
func (s *Deployment) Orders() (stand.RequestReport, error) {
	return fetch[stand.RequestReport](s.reports["orders"].String() + "/")
}

// ServerReports returns the ledgers of all backend servers that run.
func (s *Deployment) ServerReports() ([]stand.ServerReport, error) {
	var out []stand.ServerReport
	for _, b := range s.Topology.Servers {
		if _, err := s.process(b.Name); err != nil {
			continue
		}
		l, err := fetch[stand.ServerReport](b.HTTP.String() + "/ledger")
		if err != nil {
			return nil, err
		}
		out = append(out, l)
	}
	return out, nil
}

// IsReady reports whether a process of the product is ready.
func (s *Deployment) IsReady(name string) bool {
	for _, c := range s.Topology.Controls {
		if c.Name == name {
			return answersOK(c.Listen.String() + "/readyz")
		}
	}
	for _, e := range s.Topology.Entries {
		if e.Name == name {
			return answersOK(e.Peer.String() + "/readyz")
		}
	}
	_, err := s.process(name)
	return err == nil
}

var httpClient = &http.Client{Timeout: callTimeout}

func answersOK(address string) bool {
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

// Wait polls until ok returns true, and reports whether it did in time.
func Wait(limit time.Duration, ok func() bool) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		if ok() {
			return true
		}
		time.Sleep(pollInterval)
	}
	return ok()
}

// Field returns the value of a report's field by its JSON name, such as
// broken, as a number.
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
		return 0, fmt.Errorf("read report: no number is named %s in %s", name, strings.TrimSpace(string(data)))
	}
	return v, nil
}
