package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"boragepost/platform"
)

// addEvacuate adds the command, which uses the addresses of control replicas in resources.
func addEvacuate(app *kingpin.Application, commands map[string]func(context.Context) error, resources *resourceOptions) {
	c := app.Command("evacuate", "Send no new flows to the backend servers of an availability zone.")
	o := evacuateOptions{resources: resources}
	c.Arg("zone", "Availability zone.").StringVar(&o.zone)
	c.Flag("end", "End the evacuation of the zone.").BoolVar(&o.end)
	c.Flag("list", "List the evacuated zones.").BoolVar(&o.list)
	commands["evacuate"] = o.run
}

type evacuateOptions struct {
	zone      string
	resources *resourceOptions
	end, list bool
}

var errEvacuateUsage = errors.New("evacuate needs either a zone or --list")

func (o *evacuateOptions) run(ctx context.Context) error {
	if o.list == (o.zone != "") || o.list && o.end {
		return errEvacuateUsage
	}
	client := platform.EvacuationClient{Control: o.resources.endpoints}
	if !o.list {
		if err := client.Evacuate(ctx, o.zone, !o.end); err != nil {
			return fmt.Errorf("evacuate %s: %w", o.zone, err)
		}
		return nil
	}
	zones, revision, err := client.List(ctx)
	if err != nil {
		return fmt.Errorf("list evacuated zones: %w", err)
	}
	fmt.Printf("revision %d\n", revision)
	for _, z := range zones {
		fmt.Println(z)
	}
	return nil
}
