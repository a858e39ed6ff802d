package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"boragepost/io/client"
	"boragepost/io/ctrl"
	"boragepost/io/entry"
	"boragepost/io/logs"
	"boragepost/io/stand"
	"boragepost/io/timer"
)

// Options configures a demo run. Zero values mean the defaults.
type Options struct {
	Seed     uint64
	Flows    int
	Progress io.Writer // progress lines; nil discards them
	Log      *logrus.Entry
}

const (
	defaultFlows    = 600
	maxRunTime      = 30 * time.Second
	loss            = 0.01
	duplicate       = 0.005
	reorder         = 0.02
	packetInterval  = 100 * time.Millisecond
	flowLifetime    = 120 // packets
	udpFraction     = 0.1
	requestRate     = 60 // per second
	longFraction    = 0.02
	requestTimeout  = 8 * time.Second
	convergenceTime = time.Second // until the new backend servers have their share of the buckets
)

// run is the state of one demo run.
type run struct {
	opts                Options
	topology            *Topology
	log                 *logrus.Entry
	ctx                 context.Context
	controls            []*ctrl.Replica
	entries             []*entry.Entry
	servers             []*stand.Server
	fabric              *stand.Fabric
	flows               *stand.FlowGenerator
	requests            *stand.RequestGenerator
	stopRequests        context.CancelFunc // ends the request generator
	api                 *client.Client
	startedAt           time.Time
	retiredControlBytes int64 // control bytes of the former incarnations of restarted entry instances
	callersStartedAt    time.Time
}

// Run starts a deployment and keeps flows open and sends requests during a rolling
// restart of all entry instances and the drain of two backend servers. It returns
// the counts of the stand-ins and ends within 30 seconds.
func Run(ctx context.Context, opts Options) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, maxRunTime)
	defer cancel()
	dir, err := os.MkdirTemp("", "boragepost-demo-")
	if err != nil {
		return Report{}, fmt.Errorf("create data directory: %w", err)
	}
	defer os.RemoveAll(dir)
	if opts.Flows == 0 {
		opts.Flows = defaultFlows
	}
	if opts.Log == nil {
		opts.Log = logs.Discard()
	}
	if opts.Progress == nil {
		opts.Progress = io.Discard
	}
	topology, err := NewTopology(dir, opts.Seed)
	if err != nil {
		return Report{}, err
	}
	r := &run{opts: opts, topology: topology, log: opts.Log, ctx: ctx, startedAt: time.Now(),
		api: &client.Client{Endpoints: topology.ControlEndpoints(), Actor: "demo", Attempts: 20}}
	defer r.close()
	if err := r.startDeployment(); err != nil {
		return Report{}, fmt.Errorf("start the deployment: %w", err)
	}
	if err := r.applyChanges(); err != nil {
		return Report{}, fmt.Errorf("change the deployment: %w", err)
	}
	return r.report(), nil
}

func (r *run) progress(format string, args ...any) {
	fmt.Fprintf(r.opts.Progress, "%5.1fs %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

func (r *run) startDeployment() error {
	for _, c := range r.topology.Controls {
		replica, err := ctrl.Start(r.ctx, ctrl.Config{Settings: c, Log: r.log})
		if err != nil {
			return err
		}
		r.controls = append(r.controls, replica)
	}
	for _, svc := range r.topology.Services {
		if _, err := r.api.PutService(r.ctx, svc, 0); err != nil {
			return fmt.Errorf("create service %s: %w", svc.Name, err)
		}
	}
	r.progress("3 control replicas accept changes")
	for _, s := range r.topology.Entries {
		e, err := entry.Start(r.ctx, entry.Config{Settings: s, Log: r.log})
		if err != nil {
			return err
		}
		r.entries = append(r.entries, e)
	}
	var err error
	r.fabric, err = stand.StartFabric(r.ctx, stand.FabricConfig{
		Listen: r.topology.Fabric, Entries: r.topology.EntryPoints(), Seed: r.opts.Seed,
		Loss: loss, Duplicate: duplicate, Reorder: reorder,
	})
	if err != nil {
		return err
	}
	for _, s := range r.topology.Servers {
		server, err := stand.StartServer(r.ctx, s)
		if err != nil {
			return err
		}
		r.servers = append(r.servers, server)
	}
	if err := timer.PollUntil(r.ctx, "entry instances and backend servers", r.allReady); err != nil {
		return err
	}
	r.progress("6 entry instances are ready, 18 backend servers have announced themselves")
	timer.Sleep(r.ctx, convergenceTime)
	return r.startCallers()
}

func (r *run) allReady() bool {
	servers, err := r.api.Servers(r.ctx)
	return err == nil && len(servers.Items) == len(r.topology.Servers) && r.fabric.Ready() == len(r.entries)
}

func (r *run) startCallers() error {
	var err error
	r.flows, err = stand.StartFlowGenerator(r.ctx, stand.FlowGeneratorConfig{
		Fabric: r.topology.Fabric, Services: r.topology.Addresses(), Count: r.opts.Flows, Interval: packetInterval,
		Lifetime: flowLifetime, UDPFraction: udpFraction, Seed: r.opts.Seed,
	})
	if err != nil {
		return err
	}
	ctx, stopRequests := context.WithCancel(r.ctx)
	r.stopRequests = stopRequests
	r.requests = stand.StartRequestGenerator(ctx, stand.RequestGeneratorConfig{
		Gateways: r.topology.Gateways(), Service: "comptoir", Rate: requestRate, LongFraction: longFraction,
		Timeout: requestTimeout, Prefix: fmt.Sprintf("order-%d", r.opts.Seed), Seed: r.opts.Seed,
	})
	r.callersStartedAt = time.Now()
	timer.Sleep(r.ctx, 2*time.Second)
	r.progress("%d flows are open", r.flows.Report().Open)
	return nil
}

// applyChanges drains backend servers and restarts the entry instances in
// sequence.
func (r *run) applyChanges() error {
	if _, err := r.api.Drain(r.ctx, "comptoir", "comptoir-1"); err != nil {
		return fmt.Errorf("drain comptoir-1: %w", err)
	}
	r.progress("comptoir-1 drains")
	for i := range r.entries {
		if err := r.restartEntry(i); err != nil {
			return err
		}
	}
	r.progress("all entry instances were restarted")
	if _, err := r.api.Drain(r.ctx, "catalogue", "catalogue-2"); err != nil {
		return fmt.Errorf("drain catalogue-2: %w", err)
	}
	r.progress("catalogue-2 drains")
	timer.Sleep(r.ctx, 3*time.Second)
	r.stopRequests()
	r.requests.Wait()
	return nil
}

// restartEntry shuts an entry instance down gracefully and starts it again.
func (r *run) restartEntry(i int) error {
	old := r.entries[i]
	if err := old.Shutdown(r.ctx); err != nil {
		return err
	}
	r.retiredControlBytes += old.ControlBytes()
	e, err := entry.Start(r.ctx, entry.Config{Settings: r.topology.Entries[i], Log: r.log})
	if err != nil {
		return fmt.Errorf("restart %s: %w", r.topology.Entries[i].Name, err)
	}
	r.entries[i] = e
	if err := timer.PollUntil(r.ctx, "the restarted entry instance", e.Ready); err != nil {
		return err
	}
	r.progress("%s was restarted", r.topology.Entries[i].Name)
	return nil
}

func (r *run) close() {
	for _, e := range r.entries {
		e.Close()
	}
	for _, c := range r.controls {
		if err := c.Close(); err != nil && !errors.Is(err, context.Canceled) {
			r.log.WithError(err).Warn("controlStopFailed")
		}
	}
}
