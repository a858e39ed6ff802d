// Package conf reads settings files.
//
// Settings files are YAML. All unknown fields and wrong types are reported
// together, each with file, line and field. A file without such errors is
// validated, and all invalid values are reported together.
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

// Entry holds the settings of an entry instance.
type Entry struct {
	Role string `yaml:"role"`
	Name string `yaml:"name"`
	Zone string `yaml:"zone"`
	// Packets is the UDP endpoint for the fabric's datagrams.
	Packets netip.AddrPort `yaml:"packets"`
	// Gateway is the HTTP endpoint for callers' requests.
	Gateway netip.AddrPort `yaml:"gateway"`
	// Peer is the HTTP endpoint for other entry instances, announcements and
	// metrics.
	Peer netip.AddrPort `yaml:"peer"`
	// Control lists the control replicas, the preferred one first.
	Control  []netip.AddrPort `yaml:"control"`
	Workers  int              `yaml:"workers"`
	Limits   Limits           `yaml:"limits"`
	Security Security         `yaml:"security"`
	Log      Log              `yaml:"log"`
	// ShutdownGrace is how long packets are still forwarded after a shutdown
	// has started, so that the fabric can stop sending to the instance.
	ShutdownGrace model.Duration `yaml:"shutdownGrace"`
}

// Limits bounds the memory of an entry instance. Zero values select the defaults.
type Limits struct {
	MaxFlows     int `yaml:"maxFlows"`
	MaxHalfOpen  int `yaml:"maxHalfOpen"`
	MaxRequests  int `yaml:"maxRequests"`
	MaxBodyBytes int `yaml:"maxBodyBytes"`
}

// Control holds the settings of a control replica.
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

// Security configures how links and the resource API are protected.
type Security struct {
	// InsecureLoopback allows links without TLS on loopback addresses.
	InsecureLoopback bool `yaml:"insecureLoopback"`
}

// Log configures the log.
type Log struct {
	Level string `yaml:"level"`
}

// Diagnostic is an error in a file.
type Diagnostic struct {
	File string
	Line int // 0 if unknown, for instance because the field is missing
	Text string
}

// String returns the diagnostic as file:line: text.
func (d Diagnostic) String() string {
	if d.Line == 0 {
		return fmt.Sprintf("%s: %s", d.File, d.Text)
	}
	return fmt.Sprintf("%s:%d: %s", d.File, d.Line, d.Text)
}

// Error lists the errors in a file.
type Error struct{ Diagnostics []Diagnostic }

var _ error = (*Error)(nil)

// Error implements error. It returns one line per diagnostic.
func (e *Error) Error() string {
	lines := make([]string, len(e.Diagnostics))
	for i, d := range e.Diagnostics {
		lines[i] = d.String()
	}
	return strings.Join(lines, "\n")
}

// LoadEntry reads and validates the settings of an entry instance. If they are
// invalid, it returns an *Error that lists all errors.
func LoadEntry(path string) (Entry, error) {
	return load(path, Entry{}, Entry.validate)
}

// LoadControl reads and validates the settings of a control replica. If they are
// invalid, it returns an *Error that lists all errors.
func LoadControl(path string) (Control, error) {
	return load(path, Control{}, Control.validate)
}

// Services is the content of a file of services to apply.
type Services struct {
	Services []model.Service `yaml:"services"`
}

// LoadServices reads and validates a file of services. If it is invalid, it
// returns an *Error that lists all errors.
func LoadServices(path string) ([]model.Service, error) {
	s, err := load(path, Services{}, Services.validate)
	return s.Services, err
}

// Check validates a file of any kind: settings, identified by their role, or
// services. It returns the kind. If the file is invalid, it returns an *Error
// that lists all errors.
func Check(path string) (kind string, err error) {
	doc, _, err := parseFile(path)
	if err != nil {
		return "", err
	}
	role, _ := findNode(doc, "role")
	switch {
	case role != nil && role.Value == "entry":
		_, err = LoadEntry(path)
		return "entry", err
	case role != nil && role.Value == "control":
		_, err = LoadControl(path)
		return "control", err
	case role != nil:
		return "", &Error{Diagnostics: []Diagnostic{{path, role.Line, "role: must be entry or control"}}}
	default:
		_, err = LoadServices(path)
		return "services", err
	}
}

func parseFile(path string) (*yaml.Node, []byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, fmt.Errorf("read settings: %w", err)
	}
	var doc yaml.Node
	if err := yaml.Unmarshal(data, &doc); err != nil {
		return nil, nil, &Error{Diagnostics: yamlDiagnostics(path, err)}
	}
	return &doc, data, nil
}

// load decodes a file strictly into a copy of v and validates it.
func load[T any](path string, v T, validate func(T) []model.FieldError) (T, error) {
	doc, data, err := parseFile(path)
	if err != nil {
		return v, err
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(&v); err != nil {
		return v, &Error{Diagnostics: yamlDiagnostics(path, err)}
	}
	var diagnostics []Diagnostic
	for _, fieldErr := range validate(v) {
		_, line := findNode(doc, fieldErr.Path)
		diagnostics = append(diagnostics, Diagnostic{File: path, Line: line, Text: fieldErr.Error()})
	}
	if len(diagnostics) > 0 {
		return v, &Error{Diagnostics: diagnostics}
	}
	return v, nil
}

// yamlDiagnostics converts an error of the YAML library, which has the line
// number in its text, into diagnostics.
func yamlDiagnostics(path string, err error) []Diagnostic {
	texts := []string{err.Error()}
	var typeErr *yaml.TypeError
	if errors.As(err, &typeErr) {
		texts = typeErr.Errors
	}
	var diagnostics []Diagnostic
	for _, text := range texts {
		d := Diagnostic{File: path, Text: text}
		text = strings.TrimPrefix(text, "yaml: ")
		if n, scanErr := fmt.Sscanf(text, "line %d:", &d.Line); n == 1 && scanErr == nil {
			_, d.Text, _ = strings.Cut(text, ": ")
		}
		diagnostics = append(diagnostics, d)
	}
	return diagnostics
}

// findNode returns the node at a path such as services[2].address and the line
// of the deepest existing part of the path.
func findNode(doc *yaml.Node, path string) (*yaml.Node, int) {
	node, line := doc, 0
	if node.Kind == yaml.DocumentNode && len(node.Content) > 0 {
		node = node.Content[0]
	}
	for _, segment := range strings.FieldsFunc(path, func(r rune) bool { return strings.ContainsRune(".[]", r) }) {
		node = childNode(node, segment)
		if node == nil {
			return nil, line
		}
		line = node.Line
	}
	return node, line
}

func childNode(node *yaml.Node, segment string) *yaml.Node {
	if node.Kind == yaml.SequenceNode {
		var i int
		if n, err := fmt.Sscanf(segment, "%d", &i); n == 1 && err == nil && i < len(node.Content) {
			return node.Content[i]
		}
		return nil
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == segment {
			return node.Content[i+1]
		}
	}
	return nil
}

// fieldErrors collects the validation errors of a value.
type fieldErrors []model.FieldError

func (f *fieldErrors) add(path, format string, args ...any) {
	*f = append(*f, model.FieldError{Path: path, Text: fmt.Sprintf(format, args...)})
}

func (f *fieldErrors) requireNonEmpty(path, v string) {
	if v == "" {
		f.add(path, "must not be empty")
	}
}

func (f *fieldErrors) requireEndpoint(path string, a netip.AddrPort) {
	if !a.IsValid() || a.Port() == 0 {
		f.add(path, "must be an IP address and port, such as 127.0.0.1:7000")
	}
}

func (f *fieldErrors) requireNonNegative(path string, v int) {
	if v < 0 {
		f.add(path, "must not be negative, is %d", v)
	}
}

// checkInsecureLinks checks that links without TLS are enabled and that every
// endpoint has a loopback address.
func (f *fieldErrors) checkInsecureLinks(s Security, endpoints ...netip.AddrPort) {
	nonLoopback := slices.ContainsFunc(endpoints, func(a netip.AddrPort) bool { return !a.Addr().IsLoopback() })
	if !s.InsecureLoopback || nonLoopback {
		f.add("security.insecureLoopback",
			"links without TLS need insecureLoopback: true and loopback addresses only")
	}
}

const maxWorkers = 64

func (e Entry) validate() []model.FieldError {
	var errs fieldErrors
	if e.Role != "entry" {
		errs.add("role", "must be entry")
	}
	errs.requireNonEmpty("name", e.Name)
	errs.requireNonEmpty("zone", e.Zone)
	errs.requireEndpoint("packets", e.Packets)
	errs.requireEndpoint("gateway", e.Gateway)
	errs.requireEndpoint("peer", e.Peer)
	if len(e.Control) == 0 {
		errs.add("control", "must list at least one control replica")
	}
	for i, a := range e.Control {
		errs.requireEndpoint(fmt.Sprintf("control[%d]", i), a)
	}
	if e.Workers < 0 || e.Workers > maxWorkers {
		errs.add("workers", "must be between 0 and %d, is %d", maxWorkers, e.Workers)
	}
	errs.requireNonNegative("limits.maxFlows", e.Limits.MaxFlows)
	errs.requireNonNegative("limits.maxHalfOpen", e.Limits.MaxHalfOpen)
	errs.requireNonNegative("limits.maxRequests", e.Limits.MaxRequests)
	errs.requireNonNegative("limits.maxBodyBytes", e.Limits.MaxBodyBytes)
	errs.requireNonNegative("shutdownGrace", int(e.ShutdownGrace))
	errs.checkInsecureLinks(e.Security, append([]netip.AddrPort{e.Packets, e.Gateway, e.Peer}, e.Control...)...)
	return errs
}

const maxReplicas = 9

func (c Control) validate() []model.FieldError {
	var errs fieldErrors
	if c.Role != "control" {
		errs.add("role", "must be control")
	}
	errs.requireNonEmpty("name", c.Name)
	errs.requireNonEmpty("zone", c.Zone)
	errs.requireNonEmpty("data", c.Data)
	errs.requireEndpoint("listen", c.Listen)
	if len(c.Replicas)%2 == 0 || len(c.Replicas) > maxReplicas {
		errs.add("replicas", "must be an odd number of at most %d, is %d", maxReplicas, len(c.Replicas))
	}
	if _, ok := c.Replicas[c.Name]; !ok && c.Name != "" {
		errs.add("replicas", "must contain this replica, %s", c.Name)
	}
	endpoints := []netip.AddrPort{c.Listen}
	for name, a := range c.Replicas {
		errs.requireEndpoint("replicas."+name, a)
		endpoints = append(endpoints, a)
	}
	errs.requireNonNegative("instanceLease", int(c.InstanceLease))
	errs.requireNonNegative("serverLease", int(c.ServerLease))
	errs.requireNonNegative("snapshotEvery", c.SnapshotEvery)
	errs.checkInsecureLinks(c.Security, endpoints...)
	return errs
}

func (s Services) validate() []model.FieldError {
	var errs fieldErrors
	if len(s.Services) == 0 {
		errs.add("services", "must list at least one service")
	}
	seen := map[string]bool{}
	for i, svc := range s.Services {
		prefix := fmt.Sprintf("services[%d].", i)
		for _, fieldErr := range svc.Validate() {
			errs.add(prefix+fieldErr.Path, "%s", fieldErr.Text)
		}
		if seen[svc.Name] {
			errs.add(prefix+"name", "%s is listed twice", svc.Name)
		}
		seen[svc.Name] = true
	}
	return errs
}
