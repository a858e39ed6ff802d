// Package conf reads settings files.
//
// Settings are YAML. A file is checked as a whole: unknown fields, wrong types
// and values out of range are all reported at once, each with file, line and
// field.
//
// # Usage
//
//	settings, err := conf.LoadEntry("entry.yaml")
//	settings, err := conf.LoadControl("control.yaml")
//	services, err := conf.LoadServices("services.yaml")
package conf

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"

	"boragepost/core/model"
)

// Entry is the settings of an entry instance.
type Entry struct {
	Role string `yaml:"role"`
	Name string `yaml:"name"`
	Zone string `yaml:"zone"`
	// Packets is the UDP endpoint for the fabric's datagrams.
	Packets netip.AddrPort `yaml:"packets"`
	// Gateway is the HTTP endpoint for callers' requests.
	Gateway netip.AddrPort `yaml:"gateway"`
	// Peer is the endpoint for other instances, announcements and metrics.
	Peer netip.AddrPort `yaml:"peer"`
	// Control lists the control replicas, the preferred one first.
	Control  []netip.AddrPort `yaml:"control"`
	Workers  int              `yaml:"workers"`
	Limits   Limits           `yaml:"limits"`
	Security Security         `yaml:"security"`
	Log      Log              `yaml:"log"`
	// ShutdownGrace is how long packets are still forwarded after a shutdown
	// was announced, so that the fabric can take the instance out.
	ShutdownGrace model.Duration `yaml:"shutdownGrace"`
}

// Limits bound the memory of an entry instance. Zero values take defaults.
type Limits struct {
	MaxFlows     int `yaml:"maxFlows"`
	MaxHalfOpen  int `yaml:"maxHalfOpen"`
	MaxRequests  int `yaml:"maxRequests"`
	MaxBodyBytes int `yaml:"maxBodyBytes"`
}

// Control is the settings of a control replica.
type Control struct {
	Role     string                    `yaml:"role"`
	Name     string                    `yaml:"name"`
	Zone     string                    `yaml:"zone"`
	Listen   netip.AddrPort            `yaml:"listen"`
	Data     string                    `yaml:"data"`
	Replicas map[string]netip.AddrPort `yaml:"replicas"`
	Security Security                  `yaml:"security"`
	Log      Log                       `yaml:"log"`
	// InstanceLease and ServerLease override the lease durations.
	InstanceLease model.Duration `yaml:"instanceLease"`
	ServerLease   model.Duration `yaml:"serverLease"`
	// SnapshotEvery is the number of log entries between snapshots.
	SnapshotEvery int `yaml:"snapshotEvery"`
}

// Security says how links and the resource API are protected.
type Security struct {
	// InsecureLoopback allows unprotected links on loopback addresses.
	InsecureLoopback bool `yaml:"insecureLoopback"`
}

// Log is the settings of the log.
type Log struct {
	Level string `yaml:"level"`
}

// Fault is one mistake in a file.
type Fault struct {
	File string
	Line int // 0 when the field is missing altogether
	Text string
}

// String returns the fault as file:line: text.
func (f Fault) String() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s", f.File, f.Text)
	}
	return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Text)
}

// Error is all mistakes of a file.
type Error struct{ Faults []Fault }

var _ error = (*Error)(nil)

// Error implements error; it returns one line a fault.
func (e *Error) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// LoadEntry reads and checks the settings of an entry instance. It returns an
// *Error that lists all faults.
func LoadEntry(path string) (Entry, error) {
	return load(path, Entry{}, Entry.check)
}

// LoadControl reads and checks the settings of a control replica. It returns an
// *Error that lists all faults.
func LoadControl(path string) (Control, error) {
	return load(path, Control{}, Control.check)
}

// Services is a file of services to apply.
type Services struct {
	Services []model.Service `yaml:"services"`
}

// LoadServices reads and checks a file of services. It returns an *Error that
// lists all faults.
func LoadServices(path string) ([]model.Service, error) {
	s, err := load(path, Services{}, Services.check)
	return s.Services, err
}

// Check reads a file of any kind: settings by their role, or services. It
// returns the kind, and an *Error that lists all faults.
func Check(path string) (kind string, err error) {
	doc, _, err := read(path)
	if err != nil {
		return "", err
	}
	role, _ := find(doc, "role")
	switch {
	case role != nil && role.Value == "entry":
		_, err = LoadEntry(path)
		return "entry", err
	case role != nil && role.Value == "control":
		_, err = LoadControl(path)
		return "control", err
	case role != nil:
		return "", &Error{Faults: []Fault{{path, role.Line, "role: must be entry or control"}}}
	default:
		_, err = LoadServices(path)
		return "services", err
	}
}

func read(path string) (*yaml.Node, []byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, fmt.Errorf("read settings: %w", err)
	}
	var doc yaml.Node
	if err := yaml.Unmarshal(data, &doc); err != nil {
		return nil, nil, &Error{Faults: yamlFaults(path, err)}
	}
	return &doc, data, nil
}

// load decodes a file strictly into a copy of v and runs its check.
func load[T any](path string, v T, check func(T) []model.FieldError) (T, error) {
	doc, data, err := read(path)
	if err != nil {
		return v, err
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(&v); err != nil {
		return v, &Error{Faults: yamlFaults(path, err)}
	}
	var faults []Fault
	for _, fe := range check(v) {
		_, line := find(doc, fe.Path)
		faults = append(faults, Fault{File: path, Line: line, Text: fe.Error()})
	}
	if len(faults) > 0 {
		return v, &Error{Faults: faults}
	}
	return v, nil
}

// yamlFaults turns the library's error, which has a line in its text, into
// faults.
func yamlFaults(path string, err error) []Fault {
	texts := []string{err.Error()}
	var typeErr *yaml.TypeError
	if errors.As(err, &typeErr) {
		texts = typeErr.Errors
	}
	var faults []Fault
	for _, text := range texts {
		f := Fault{File: path, Text: text}
		text = strings.TrimPrefix(text, "yaml: ")
		if n, scanErr := fmt.Sscanf(text, "line %d:", &f.Line); n == 1 && scanErr == nil {
			_, f.Text, _ = strings.Cut(text, ": ")
		}
		faults = append(faults, f)
	}
	return faults
}

// find returns the node at a path such as services[2].address, and the line of
// the deepest part of the path that exists.
func find(doc *yaml.Node, path string) (*yaml.Node, int) {
	node, line := doc, 0
	if node.Kind == yaml.DocumentNode && len(node.Content) > 0 {
		node = node.Content[0]
	}
	for _, part := range strings.FieldsFunc(path, func(r rune) bool { return strings.ContainsRune(".[]", r) }) {
		node = child(node, part)
		if node == nil {
			return nil, line
		}
		line = node.Line
	}
	return node, line
}

func child(node *yaml.Node, part string) *yaml.Node {
	if node.Kind == yaml.SequenceNode {
		var i int
		if n, err := fmt.Sscanf(part, "%d", &i); n == 1 && err == nil && i < len(node.Content) {
			return node.Content[i]
		}
		return nil
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == part {
			return node.Content[i+1]
		}
	}
	return nil
}

// faults collects the mistakes of one value.
type faults []model.FieldError

func (f *faults) add(path, format string, args ...any) {
	*f = append(*f, model.FieldError{Path: path, Text: fmt.Sprintf(format, args...)})
}

func (f *faults) notEmpty(path, v string) {
	if v == "" {
		f.add(path, "must not be empty")
	}
}

func (f *faults) endpoint(path string, a netip.AddrPort) {
	if !a.IsValid() || a.Port() == 0 {
		f.add(path, "must be an IP address and port, such as 127.0.0.1:7000")
	}
}

func (f *faults) notNegative(path string, v int) {
	if v < 0 {
		f.add(path, "must not be negative, is %d", v)
	}
}

// protection checks that every endpoint is allowed to go unprotected.
func (f *faults) protection(s Security, endpoints ...netip.AddrPort) {
	outside := slices.ContainsFunc(endpoints, func(a netip.AddrPort) bool { return !a.Addr().IsLoopback() })
	if !s.InsecureLoopback || outside {
		f.add("security.insecureLoopback",
			"links without TLS need insecureLoopback: true and loopback addresses only")
	}
}

const maxWorkers = 64

func (e Entry) check() []model.FieldError {
	var f faults
	if e.Role != "entry" {
		f.add("role", "must be entry")
	}
	f.notEmpty("name", e.Name)
	f.notEmpty("zone", e.Zone)
	f.endpoint("packets", e.Packets)
	f.endpoint("gateway", e.Gateway)
	f.endpoint("peer", e.Peer)
	if len(e.Control) == 0 {
		f.add("control", "must list at least one control replica")
	}
	for i, a := range e.Control {
		f.endpoint(fmt.Sprintf("control[%d]", i), a)
	}
	if e.Workers < 0 || e.Workers > maxWorkers {
		f.add("workers", "must be between 0 and %d, is %d", maxWorkers, e.Workers)
	}
	f.notNegative("limits.maxFlows", e.Limits.MaxFlows)
	f.notNegative("limits.maxHalfOpen", e.Limits.MaxHalfOpen)
	f.notNegative("limits.maxRequests", e.Limits.MaxRequests)
	f.notNegative("limits.maxBodyBytes", e.Limits.MaxBodyBytes)
	f.notNegative("shutdownGrace", int(e.ShutdownGrace))
	f.protection(e.Security, append([]netip.AddrPort{e.Packets, e.Gateway, e.Peer}, e.Control...)...)
	return f
}

const maxReplicas = 9

func (c Control) check() []model.FieldError {
	var f faults
	if c.Role != "control" {
		f.add("role", "must be control")
	}
	f.notEmpty("name", c.Name)
	f.notEmpty("zone", c.Zone)
	f.notEmpty("data", c.Data)
	f.endpoint("listen", c.Listen)
	if len(c.Replicas)%2 == 0 || len(c.Replicas) > maxReplicas {
		f.add("replicas", "must be an odd number of at most %d, is %d", maxReplicas, len(c.Replicas))
	}
	if _, ok := c.Replicas[c.Name]; !ok && c.Name != "" {
		f.add("replicas", "must contain this replica, %s", c.Name)
	}
	endpoints := []netip.AddrPort{c.Listen}
	for name, a := range c.Replicas {
		f.endpoint("replicas."+name, a)
		endpoints = append(endpoints, a)
	}
	f.notNegative("instanceLease", int(c.InstanceLease))
	f.notNegative("serverLease", int(c.ServerLease))
	f.notNegative("snapshotEvery", c.SnapshotEvery)
	f.protection(c.Security, endpoints...)
	return f
}

func (s Services) check() []model.FieldError {
	var f faults
	if len(s.Services) == 0 {
		f.add("services", "must list at least one service")
	}
	seen := map[string]bool{}
	for i, svc := range s.Services {
		prefix := fmt.Sprintf("services[%d].", i)
		for _, fe := range svc.Validate() {
			f.add(prefix+fe.Path, "%s", fe.Text)
		}
		if seen[svc.Name] {
			f.add(prefix+"name", "%s is listed twice", svc.Name)
		}
		seen[svc.Name] = true
	}
	return f
}
