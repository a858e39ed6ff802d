// Command standin runs one stand-in (test double) of the environment of boragepost: a
// fabric, a backend server, a caller, or a backend server of the users' platform. It is
// used by tests only.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"go.yaml.in/yaml/v3"

	"boragepost/io/stand"
	platform "boragepost/platform/stand"
)

func main() {
	app := kingpin.New("standin", "Run a stand-in for part of the environment of boragepost.")
	kind := app.Arg("kind", "Kind of stand-in.").Required().Enum("fabric", "server", "flows", "orders", "platformServer")
	config := app.Flag("config", "Configuration file.").Required().String()
	report := app.Flag("report", "Address on which to serve the report.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, *kind, *config, *report); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// run runs a stand-in until ctx ends. Callers and platform servers serve their reports
// over HTTP on the address report.
func run(ctx context.Context, kind, config, report string) error {
	switch kind {
	case "fabric":
		return start(ctx, config, stand.StartFabric)
	case "server":
		return start(ctx, config, stand.StartServer)
	case "platformServer":
		return start(ctx, config, func(ctx context.Context, c platform.ServerConfig) (any, error) {
			s, err := platform.StartServer(ctx, c)
			if err == nil {
				platform.ServeManagement(ctx, report, s)
			}
			return s, err
		})
	case "flows":
		return start(ctx, config, func(ctx context.Context, c stand.FlowGeneratorConfig) (any, error) {
			f, err := stand.StartFlowGenerator(ctx, c)
			if err == nil {
				serveReport(report, func() any { return f.Report() })
			}
			return f, err
		})
	default:
		return start(ctx, config, func(ctx context.Context, c stand.RequestGeneratorConfig) (any, error) {
			r := stand.StartRequestGenerator(ctx, c)
			serveReport(report, func() any { return r.Report() })
			return r, nil
		})
	}
}

// start reads the configuration file at path, starts a stand-in with it, and waits until
// ctx ends.
func start[C, T any](ctx context.Context, path string, startStandIn func(context.Context, C) (T, error)) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	var c C
	decoder := yaml.NewDecoder(strings.NewReader(string(data)))
	decoder.KnownFields(true)
	if err := decoder.Decode(&c); err != nil {
		return fmt.Errorf("read configuration %s: %w", path, err)
	}
	if _, err := startStandIn(ctx, c); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

func serveReport(addr string, report func() any) {
	if addr == "" {
		return
	}
	go http.ListenAndServe(addr, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(report())
	}))
}
