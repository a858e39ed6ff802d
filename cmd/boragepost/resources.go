package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/user"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"go.yaml.in/yaml/v3"

	"boragepost/core/model"
	"boragepost/io/client"
	"boragepost/io/conf"
	"boragepost/io/ctrl"
	"boragepost/platform"
)

// resourceOptions holds the flags that all resource commands share.
type resourceOptions struct {
	endpoints []string
	actor     string
	output    string
}

func (o *resourceOptions) client() *client.Client {
	return &client.Client{Endpoints: o.endpoints, Actor: o.actor, Attempts: 3}
}

func addResources(app *kingpin.Application, commands map[string]func(context.Context) error) *resourceOptions {
	o := &resourceOptions{}
	app.Flag("control", "Endpoint of a control replica; may be repeated.").
		Default("127.0.0.1:9100").Envar("BORAGEPOST_CONTROL").StringsVar(&o.endpoints)
	app.Flag("actor", "Name for the audit trail.").Default(currentUser()).StringVar(&o.actor)
	app.Flag("output", "Output format: table, json or yaml.").Short('o').Default("table").
		EnumVar(&o.output, "table", "json", "yaml")

	c := app.Command("get", "Show resources: services, backendServers, instances, evacuations or status.")
	kind := c.Arg("kind", "Kind of resource.").Required().
		Enum("services", "backendServers", "instances", "evacuations", "status")
	commands["get"] = func(ctx context.Context) error { return o.get(ctx, *kind) }

	c = app.Command("apply", "Create or replace the services in a file.")
	file := c.Flag("file", "Services file.").Short('f').Required().String()
	expect := c.Flag("expect", "Resource version that a service must have; 0 for a new one. "+
		"Without it the current version is overwritten.").Default("-1").Int64()
	commands["apply"] = func(ctx context.Context) error { return o.apply(ctx, *file, *expect) }

	c = app.Command("delete", "Delete a service.")
	name := c.Arg("service", "Name of the service.").Required().String()
	deleteExpect := c.Flag("expect", "Resource version that the service must have.").Default("-1").Int64()
	commands["delete"] = func(ctx context.Context) error {
		accepted, err := o.client().DeleteService(ctx, *name, expectedVersion(*deleteExpect))
		return o.printAccepted("service/"+*name, "deleted", accepted, err)
	}

	c = app.Command("drain", "Drain a backend server.")
	service := c.Arg("service", "Name of the service.").Required().String()
	server := c.Arg("server", "Name of the backend server.").Required().String()
	commands["drain"] = func(ctx context.Context) error {
		accepted, err := o.client().Drain(ctx, *service, *server)
		return o.printAccepted("backendServer/"+*service+"/"+*server, "draining", accepted, err)
	}

	evacuation := app.Command("evacuation", "Evacuate an availability zone through the resource API, or end that.")
	c = evacuation.Command("put", "Send no new flows and requests to the backend servers of a zone.")
	zone := c.Arg("zone", "Availability zone.").Required().String()
	commands["evacuation put"] = func(ctx context.Context) error {
		accepted, err := o.client().PutEvacuation(ctx, *zone)
		return o.printAccepted("evacuation/"+*zone, "applied", accepted, err)
	}
	c = evacuation.Command("delete", "End the evacuation of a zone.")
	endedZone := c.Arg("zone", "Availability zone.").Required().String()
	commands["evacuation delete"] = func(ctx context.Context) error {
		accepted, err := o.client().DeleteEvacuation(ctx, *endedZone)
		return o.printAccepted("evacuation/"+*endedZone, "deleted", accepted, err)
	}

	c = app.Command("watch", "Stream the changes as they are accepted.")
	from := c.Flag("from", "First resource version to show.").Default("0").Uint64()
	commands["watch"] = func(ctx context.Context) error {
		return o.client().Watch(untilSignal(ctx), *from, func(a model.Audit) error { return o.print(a, nil) })
	}

	c = app.Command("audit", "Show the audit trail.")
	auditFrom := c.Flag("from", "First resource version to show.").Default("0").Uint64()
	commands["audit"] = func(ctx context.Context) error {
		list, err := o.client().Audit(ctx, *auditFrom)
		if err != nil {
			return err
		}
		return o.print(list, func(w *tabwriter.Writer) { auditTable(w, list.Items) })
	}
	return o
}

func currentUser() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

func expectedVersion(v int64) uint64 {
	if v < 0 {
		return client.AnyVersion
	}
	return uint64(v)
}

// exitCode distinguishes rejected changes, findings in a configuration and invariant
// violations from other failures.
func exitCode(err error) int {
	var p *ctrl.Problem
	if errors.As(err, &p) && p.Status < 500 {
		return exitRejected
	}
	if code, ok := checkExitCode(err); ok {
		return code
	}
	var rejected *platform.RejectedError
	switch {
	case errors.As(err, &rejected):
		return exitRejected
	case errors.Is(err, errEvacuateUsage):
		return exitUsage
	}
	if errors.Is(err, errViolations) {
		return exitViolation
	}
	return exitFailure
}

func (o *resourceOptions) apply(ctx context.Context, file string, expect int64) error {
	services, err := conf.LoadServices(file)
	if err != nil {
		return err
	}
	for _, svc := range services {
		accepted, err := o.client().PutService(ctx, svc, expectedVersion(expect))
		if err := o.printAccepted("service/"+svc.Name, "applied", accepted, err); err != nil {
			return err
		}
	}
	return nil
}

func (o *resourceOptions) printAccepted(object, verb string, a ctrl.Accepted, err error) error {
	if err != nil {
		return fmt.Errorf("%s: %w", object, err)
	}
	return o.print(a, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "%s %s\tgeneration %d\tresourceVersion %d\n", object, verb, a.Generation, a.ResourceVersion)
	})
}

func (o *resourceOptions) get(ctx context.Context, kind string) error {
	c := o.client()
	switch kind {
	case "services":
		list, err := c.Services(ctx)
		if err != nil {
			return err
		}
		return o.print(list, func(w *tabwriter.Writer) { serviceTable(w, list.Items) })
	case "backendServers":
		list, err := c.Servers(ctx)
		if err != nil {
			return err
		}
		return o.print(list, func(w *tabwriter.Writer) { serverTable(w, list.Items) })
	case "instances":
		list, err := c.Instances(ctx)
		if err != nil {
			return err
		}
		return o.print(list, func(w *tabwriter.Writer) { instanceTable(w, list.Items) })
	case "evacuations":
		list, err := c.Evacuations(ctx)
		if err != nil {
			return err
		}
		return o.print(list, func(w *tabwriter.Writer) { evacuationTable(w, list.Items) })
	default:
		status, err := c.Status(ctx)
		if err != nil {
			return err
		}
		return o.print(status, nil)
	}
}

// print writes v in the selected output format. If table is nil, the table format
// falls back to JSON.
func (o *resourceOptions) print(v any, table func(*tabwriter.Writer)) error {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode output: %w", err)
	}
	switch {
	case o.output == "yaml":
		// Encoding the decoded JSON keeps the JSON field names in the YAML output.
		var generic any
		if err := json.Unmarshal(data, &generic); err != nil {
			return fmt.Errorf("encode output: %w", err)
		}
		return yaml.NewEncoder(os.Stdout).Encode(generic)
	case o.output == "json" || table == nil:
		fmt.Println(string(data))
		return nil
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	table(w)
	return w.Flush()
}

func serviceTable(w *tabwriter.Writer, items []ctrl.ServiceView) {
	fmt.Fprintln(w, "NAME\tADDRESS\tGENERATION\tOBSERVED\tVERSION\tSHARING")
	for _, s := range items {
		fmt.Fprintf(w, "%s\t%v\t%d\t%d\t%d\t%s\n", s.Name, s.Address, s.Generation,
			s.Status.ObservedGeneration, s.ResourceVersion, s.Sharing)
	}
}

func serverTable(w *tabwriter.Writer, items []model.BackendServer) {
	fmt.Fprintln(w, "SERVICE\tNAME\tZONE\tPHASE\tSLOTS\tPACKETS\tHTTP")
	for _, b := range items {
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%d\t%v\t%v\n", b.Service, b.Name, b.Zone, b.Phase, b.Slots, b.Packets, b.HTTP)
	}
}

func instanceTable(w *tabwriter.Writer, items []model.Instance) {
	fmt.Fprintln(w, "NAME\tZONE\tGATEWAY\tPEER\tVERSION")
	for _, i := range items {
		fmt.Fprintf(w, "%s\t%s\t%v\t%v\t%d\n", i.ID, i.Zone, i.Gateway, i.Peer, i.ResourceVersion)
	}
}

func evacuationTable(w *tabwriter.Writer, items []ctrl.EvacuationView) {
	fmt.Fprintln(w, "ZONE\tVERSION\tSERVERS\tBUCKETS\tINFORCE")
	for _, e := range items {
		inForce := len(e.Status.Zones) > 0
		for _, z := range e.Status.Zones {
			inForce = inForce && z.InForce
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%t\n", e.Zone, e.ResourceVersion, e.Status.BackendServers, e.Status.Buckets, inForce)
	}
}

func auditTable(w *tabwriter.Writer, items []model.Audit) {
	fmt.Fprintln(w, "VERSION\tTIME\tACTOR\tACTION\tOBJECT\tFROM\tTO\tOUTCOME")
	for _, a := range items {
		at := time.UnixMilli(a.Time).UTC().Format(time.RFC3339)
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n", a.Index, at, a.Actor, a.Action, a.Object, a.From, a.To, a.Outcome)
	}
}
