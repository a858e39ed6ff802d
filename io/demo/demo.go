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

// Options of a demo run. Zero values take defaults.
type Options struct {
	Seed     uint64
	Flows    int
	Progress io.Writer // progress lines; nil discards them
	Log      *logrus.Entry
}

const (
	defaultFlows = 600
	runLimit     = 30 * time.Second
	loss         = 0.01
	duplicate    = 0.005
	reorder      = 0.02
	packetGap    = 100 * time.Millisecond
	flowLifetime = 120 // packets
	udpShare     = 0.1
	orderRate    = 60 // a second
	longShare    = 0.02
	orderTimeout = 8 * time.Second
	settleTime   = time.Second // until the new backend servers have their share
)

// run is the state of one demo.
type run struct {
	opts     Options
	site     *Topology
	log      *logrus.Entry
	ctx      context.Context
	controls []*ctrl.Replica
	entries  []*entry.Entry
	servers  []*stand.Server
	fabric   *stand.Fabric
	flows    *stand.FlowGenerator
	orders   *stand.RequestGenerator
	stop     context.CancelFunc // ends the orders
	api      *client.Client
	start    time.Time
	bytes    int64 // control bytes of entry instances that have been restarted
	began    time.Time
}

// Run brings up a deployment, holds flows and places requests through a rolling
// restart of all entry instances and the drain of a backend server, and reports
// what the stand-ins counted. It ends within 30 seconds.
func Run(ctx context.Context, opts Options) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	dir, err := os.MkdirTemp("", "boragepost-demo-")
	if err != nil {
		return Report{}, fmt.Errorf("create data folder: %w", err)
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
	site, err := NewTopology(dir, opts.Seed)
	if err != nil {
		return Report{}, err
	}
	r := &run{opts: opts, site: site, log: opts.Log, ctx: ctx, start: time.Now(),
		api: &client.Client{Endpoints: site.ControlEndpoints(), Actor: "demo", Attempts: 20}}
	defer r.close()
	if err := r.bringUp(); err != nil {
		return Report{}, fmt.Errorf("bring up the deployment: %w", err)
	}
	if err := r.change(); err != nil {
		return Report{}, fmt.Errorf("change the deployment: %w", err)
	}
	return r.report(), nil
}

func (r *run) progress(format string, args ...any) {
	fmt.Fprintf(r.opts.Progress, "%5.1fs %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *run) bringUp() error {
	for _, c := range r.site.Controls {
		replica, err := ctrl.Start(r.ctx, ctrl.Config{Settings: c, Log: r.log})
		if err != nil {
			return err
		}
		r.controls = append(r.controls, replica)
	}
	for _, svc := range r.site.Services {
		if _, err := r.api.PutService(r.ctx, svc, 0); err != nil {
			return fmt.Errorf("create service %s: %w", svc.Name, err)
		}
	}
	r.progress("3 control replicas accept changes")
	for _, s := range r.site.Entries {
		e, err := entry.Start(r.ctx, entry.Config{Settings: s, Log: r.log})
		if err != nil {
			return err
		}
		r.entries = append(r.entries, e)
	}
	var err error
	r.fabric, err = stand.StartFabric(r.ctx, stand.FabricConfig{
		Listen: r.site.Fabric, Entries: r.site.EntryPoints(), Seed: r.opts.Seed,
		Loss: loss, Duplicate: duplicate, Reorder: reorder,
	})
	if err != nil {
		return err
	}
	for _, s := range r.site.Servers {
		server, err := stand.StartServer(r.ctx, s)
		if err != nil {
			return err
		}
		r.servers = append(r.servers, server)
	}
	if err := timer.PollUntil(r.ctx, "entry instances and backend servers", r.isUp); err != nil {
		return err
	}
	r.progress("6 entry instances are ready, 18 backend servers have announced themselves")
	timer.Sleep(r.ctx, settleTime)
	return r.startCallers()
}

func (r *run) isUp() bool {
	servers, err := r.api.Servers(r.ctx)
	return err == nil && len(servers.Items) == len(r.site.Servers) && r.fabric.Ready() == len(r.entries)
}

func (r *run) startCallers() error {
	var err error
	r.flows, err = stand.StartFlowGenerator(r.ctx, stand.FlowGeneratorConfig{
		Fabric: r.site.Fabric, Services: r.site.Addresses(), Count: r.opts.Flows, Interval: packetGap,
		Lifetime: flowLifetime, UDPFraction: udpShare, Seed: r.opts.Seed,
	})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(r.ctx)
	r.stop = stop
	r.orders = stand.StartRequestGenerator(ctx, stand.RequestGeneratorConfig{
		Gateways: r.site.Gateways(), Service: "comptoir", Rate: orderRate, LongFraction: longShare,
		Timeout: orderTimeout, Prefix: fmt.Sprintf("order-%d", r.opts.Seed), Seed: r.opts.Seed,
	})
	r.began = time.Now()
	timer.Sleep(r.ctx, 2*time.Second)
	r.progress("%d flows are open", r.flows.Report().Open)
	return nil
}

// change makes the planned changes of the demo, one upon the other.
func (r *run) change() error {
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
	r.stop()
	r.orders.Wait()
	return nil
}

// restartEntry stops one entry instance gracefully and starts it again.
func (r *run) restartEntry(i int) error {
	old := r.entries[i]
	if err := old.Shutdown(r.ctx); err != nil {
		return err
	}
	r.bytes += old.ControlBytes()
	e, err := entry.Start(r.ctx, entry.Config{Settings: r.site.Entries[i], Log: r.log})
	if err != nil {
		return fmt.Errorf("restart %s: %w", r.site.Entries[i].Name, err)
	}
	r.entries[i] = e
	if err := timer.PollUntil(r.ctx, "the restarted entry instance", e.Ready); err != nil {
		return err
	}
	r.progress("%s was restarted", r.site.Entries[i].Name)
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
