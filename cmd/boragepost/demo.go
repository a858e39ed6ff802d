package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"boragepost/io/demo"
	"boragepost/io/logs"
)

var errViolations = errors.New("the demo counted invariant violations")

func addDemo(app *kingpin.Application, commands map[string]func(context.Context) error) {
	c := app.Command("demo", "Run a small complete deployment in this process and count invariant violations.")
	seed := c.Flag("seed", "Seed of all random choices.").Default("1").Uint64()
	asJSON := c.Flag("json", "Print the summary as JSON.").Bool()
	flows := c.Flag("flows", "Number of flows to keep open.").Default("600").Int()
	level := c.Flag("log", "Log level.").Default("error").String()
	commands["demo"] = func(ctx context.Context) error {
		log, err := logs.New(os.Stderr, *level)
		if err != nil {
			return err
		}
		report, err := demo.Run(ctx, demo.Options{Seed: *seed, Flows: *flows, Progress: os.Stderr, Log: log})
		if err != nil {
			return err
		}
		return printReport(report, *asJSON)
	}
}

func printReport(r demo.Report, asJSON bool) error {
	if asJSON {
		data, err := json.Marshal(r)
		if err != nil {
			return fmt.Errorf("encode report: %w", err)
		}
		fmt.Println(string(data))
	} else {
		fmt.Println(r.Summary())
	}
	if n := r.Violations(); n > 0 {
		return fmt.Errorf("%w: %d events", errViolations, n)
	}
	return nil
}
