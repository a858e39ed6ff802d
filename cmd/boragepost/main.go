// Command boragepost runs and operates the load balancer.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// version is set at build time by -ldflags "-X main.version=...".
var version = "dev"

// Exit codes.
const (
	exitFailure   = 1 // the command failed
	exitUsage     = 2 // the command line is wrong
	exitRejected  = 3 // the control replicas rejected the change, or the checked configuration or settings have errors
	exitViolation = 4 // the demo counted invariant violations
	exitWarnings  = 5 // the checked configuration or settings have warnings, but no errors
)

func main() {
	app := kingpin.New("boragepost", "A layer-4 load balancer for long connections and small, precious requests.")
	app.HelpFlag.Short('h')
	commands := map[string]func(context.Context) error{}
	addRoles(app, commands)
	addCheck(app, commands)
	resources := addResources(app, commands)
	addDemo(app, commands)
	addMeasure(app, commands)
	addTrace(app, commands)
	addEvacuate(app, commands, resources)
	app.Command("version", "Print the version.")
	commands["version"] = func(context.Context) error {
		fmt.Println("boragepost", version)
		return nil
	}
	name, err := app.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "boragepost: %v; boragepost --help lists the commands\n", err)
		os.Exit(exitUsage)
	}
	if err := commands[name](context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "boragepost:", err)
		os.Exit(exitCode(err))
	}
}
