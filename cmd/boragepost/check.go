package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"boragepost/core/config"
	"boragepost/io/conf"
	"boragepost/platform"
)

func addCheck(app *kingpin.Application, commands map[string]func(context.Context) error) {
	c := app.Command("check", "Check a settings or services file, or a configuration document before it is sent.")
	check := &checker{out: os.Stdout}
	c.Arg("file", "File to check.").Required().StringVar(&check.file)
	c.Flag("against", "Show the differences from this configuration document, or from the version in force "+
		"that the control replica at this address and port reports, unless there are errors.").StringVar(&check.against)
	c.Flag("settings", "Check this settings file of the platform too, and the configuration document together with it.").
		StringVar(&check.settings)
	c.Flag("json", "Print the report on a configuration document or on settings of the platform as JSON.").BoolVar(&check.json)
	commands["check"] = check.run
}

var (
	errConfigurationErrors   = errors.New("the control replicas would reject the configuration")
	errConfigurationWarnings = errors.New("the configuration has warnings")
	errSettingsErrors        = errors.New("the programs would refuse the settings")
	errSettingsWarnings      = errors.New("the settings have warnings")
)

// checkExitCode returns the exit code for the findings in a configuration document or in
// settings of the platform.
func checkExitCode(err error) (int, bool) {
	switch {
	case errors.Is(err, errConfigurationErrors), errors.Is(err, errSettingsErrors):
		return exitRejected, true
	case errors.Is(err, errConfigurationWarnings), errors.Is(err, errSettingsWarnings):
		return exitWarnings, true
	}
	return 0, false
}

// checker is a run of the command check.
type checker struct {
	out                     io.Writer
	file, against, settings string
	json                    bool
}

func (c *checker) run(ctx context.Context) error {
	data, err := os.ReadFile(c.file)
	if err != nil {
		return fmt.Errorf("read %s: %w", c.file, err)
	}
	compared := c.against != "" || c.settings != "" // only a configuration document is
	if !compared && platform.IsSettings(data) {
		return c.report(c.checkSettings(data))
	}
	if !platform.IsConfiguration(data) && !compared && !c.json {
		kind, err := conf.Check(c.file)
		if err != nil {
			return err
		}
		fmt.Fprintf(c.out, "%s: ok (%s)\n", c.file, kind)
		return nil
	}
	checked, err := c.check(ctx, data)
	if err != nil {
		return err
	}
	return c.report(checked)
}

// report prints a report and returns an error if there are findings.
func (c *checker) report(r *checked) error {
	if err := c.print(r); err != nil {
		return fmt.Errorf("print report: %w", err)
	}
	settings := r.settings
	switch {
	case r.configuration.errors > 0:
		return errConfigurationErrors
	case settings.errors > 0:
		return errSettingsErrors
	case r.configuration.warnings > 0:
		return errConfigurationWarnings
	case settings.warnings > 0:
		return errSettingsWarnings
	}
	return nil
}

// report is the result of a check. Its JSON form is a format that programs read: fields may
// be added, but keep their names and order.
type report struct {
	File     string `json:"file"`
	Kind     string `json:"kind"`     // configuration or settings
	Version  uint64 `json:"version"`  // 0 for settings
	Accepted bool   `json:"accepted"` // by the control replicas, or by the programs at their start
	Errors   int    `json:"errors"`   // in both files
	Warnings int    `json:"warnings"` // in both files
	// Findings lists those about the settings first, and of each file errors before
	// warnings.
	Findings []findingView `json:"findings"`
	Against  *againstView  `json:"against,omitempty"`
	Settings *settingsView `json:"settings,omitempty"`
}

// settingsView is the settings file that a configuration document was checked with.
type settingsView struct {
	File     string `json:"file"`
	Accepted bool   `json:"accepted"` // by the programs at their start
}

type findingView struct {
	Severity config.Severity `json:"severity"`
	Code     config.Code     `json:"code"`
	Route    string          `json:"route,omitempty"`
	Address  *netip.AddrPort `json:"address,omitempty"`
	Service  string          `json:"service,omitempty"`
	Field    config.Field    `json:"field,omitempty"`
	Text     string          `json:"text"`
	// File is set if it is not that of the report.
	File string `json:"file,omitempty"`
}

// againstView lists the differences from another configuration. Version is 0 if none is in
// force.
type againstView struct {
	Source      string           `json:"source"`
	Version     uint64           `json:"version"`
	Differences []differenceView `json:"differences"`
}

type differenceView struct {
	Change  config.Change   `json:"change"`
	Route   string          `json:"route,omitempty"`
	Address *netip.AddrPort `json:"address,omitempty"`
	Service string          `json:"service,omitempty"`
	Field   config.Field    `json:"field,omitempty"`
	Old     string          `json:"old,omitempty"`
	New     string          `json:"new,omitempty"`
}

func (c *checker) check(ctx context.Context, data []byte) (*checked, error) {
	settings, document, err := c.checkBoth(data)
	if err != nil {
		return nil, err
	}
	r := &checked{report: report{File: c.file, Kind: "configuration", Version: document.Configuration.Version,
		Accepted: document.Accepted(), Findings: []findingView{}}}
	if c.settings != "" {
		r.Settings = &settingsView{File: c.settings, Accepted: settings.Accepted()}
		r.settings = r.add(c.settings, settings.Findings)
	}
	findings := document.Findings
	if c.against != "" && document.Accepted() { // a rejected document changes nothing
		old, err := c.readAgainst(ctx)
		if err != nil {
			return nil, err
		}
		findings = append(findings, config.CheckVersion(old, document.Configuration)...)
		r.compare(c.against, old, document.Configuration)
	}
	r.configuration = r.add(c.file, findings)
	return r, nil
}

// checkBoth checks the configuration document, together with the settings if they are
// given and without errors, and the settings.
func (c *checker) checkBoth(data []byte) (settings platform.SettingsDocument, document platform.Document, err error) {
	if c.settings != "" {
		text, err := os.ReadFile(c.settings)
		if err != nil {
			return settings, document, fmt.Errorf("read settings: %w", err)
		}
		if settings = platform.CheckSettings(text); settings.Accepted() {
			return settings, settings.CheckConfiguration(data), nil
		}
	}
	return settings, platform.CheckConfiguration(data), nil
}

func (c *checker) checkSettings(data []byte) *checked {
	settings := platform.CheckSettings(data)
	r := &checked{report: report{File: c.file, Kind: "settings", Accepted: settings.Accepted(), Findings: []findingView{}}}
	r.settings = r.add(c.file, settings.Findings)
	return r
}

// checked is a report together with the values that it was made from.
type checked struct {
	report
	lines                   []string // of the findings
	settings, configuration counts
	differences             []config.Difference
}

// counts are those of the findings about one file.
type counts struct{ errors, warnings int }

// add adds the findings about a file and returns their counts.
func (r *checked) add(file string, findings []config.Finding) (n counts) {
	for _, f := range findings {
		if f.Severity == config.Error {
			n.errors++
		} else {
			n.warnings++
		}
		view := findingView{f.Severity, f.Code, f.Route, optional(f.Address), f.Service, f.Field, f.Text, ""}
		text := f.String()
		if r.Kind == "settings" || file != r.File {
			text = strings.TrimPrefix(fmt.Sprintf("%s: %s", f.Field, text), ": ")
		}
		if file != r.File {
			view.File = file
		}
		r.Findings = append(r.Findings, view)
		r.lines = append(r.lines, fmt.Sprintf("%s: %v: %s", file, f.Severity, text))
	}
	r.Errors, r.Warnings = r.Errors+n.errors, r.Warnings+n.warnings
	return n
}

func (r *checked) compare(source string, old, next config.Configuration) {
	r.differences = platform.CompareConfigurations(old, next)
	r.Against = &againstView{Source: source, Version: old.Version, Differences: []differenceView{}}
	for _, d := range r.differences {
		r.Against.Differences = append(r.Against.Differences,
			differenceView{d.Change, d.Route, optional(d.Address), d.Service, d.Field, d.Old, d.New})
	}
}

func optional(a netip.AddrPort) *netip.AddrPort {
	if !a.IsValid() {
		return nil
	}
	return &a
}

// readAgainst returns the configuration to compare with, or an empty one if none is in
// force. A file takes precedence over an address of the same name.
func (c *checker) readAgainst(ctx context.Context) (config.Configuration, error) {
	data, err := os.ReadFile(c.against)
	if _, _, notAddress := net.SplitHostPort(c.against); errors.Is(err, os.ErrNotExist) && notAddress == nil {
		data, err = platform.FetchConfiguration(ctx, c.against)
		if errors.Is(err, platform.ErrNoneInForce) {
			return config.Configuration{}, nil
		}
	}
	if err != nil {
		return config.Configuration{}, fmt.Errorf("compare: %w", err)
	}
	old, err := platform.ReadConfiguration(data)
	if err != nil {
		return config.Configuration{}, fmt.Errorf("compare with %s: %w", c.against, err)
	}
	return old, nil
}

func (c *checker) print(r *checked) error {
	if c.json {
		encoder := json.NewEncoder(c.out)
		encoder.SetIndent("", "  ")
		encoder.SetEscapeHTML(false)
		return encoder.Encode(r.report)
	}
	return r.printText(c.out)
}

func (r *checked) printText(w io.Writer) error {
	var err error
	line := func(format string, args ...any) {
		if err == nil {
			_, err = fmt.Fprintf(w, format+"\n", args...)
		}
	}
	for _, text := range r.lines {
		line("%s", text)
	}
	if r.Against != nil {
		switch {
		case r.Against.Version == 0: // a document's version is positive
			line("no configuration is in force at %s:", r.Against.Source)
		case len(r.differences) == 0:
			line("no differences from version %d (%s)", r.Against.Version, r.Against.Source)
		default:
			line("differences from version %d (%s):", r.Against.Version, r.Against.Source)
		}
		for _, d := range r.differences {
			line("  %v", d)
		}
	}
	switch {
	case r.Kind == "settings":
		line("%s", r.settings.verdict(r.File, "refused", "settings"))
	default:
		if r.Settings != nil {
			line("%s", r.settings.verdict(r.Settings.File, "refused", "settings"))
		}
		line("%s", r.configuration.verdict(r.File, "rejected", fmt.Sprintf("configuration version %d", r.Version)))
	}
	return err
}

// verdict returns the last line about a file.
func (n counts) verdict(file, rejected, kind string) string {
	verdict := "ok"
	if n.errors > 0 {
		verdict = rejected
	} else if n.warnings > 0 {
		verdict = "accepted, with warnings"
	}
	return fmt.Sprintf("%s: %s (%s, errors %d, warnings %d)", file, verdict, kind, n.errors, n.warnings)
}
