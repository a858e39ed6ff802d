package scene_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"boragepost/io/conf"
	"boragepost/io/ctrl"
	"boragepost/io/demo"
	"boragepost/io/scene"
)

// programs are built once for all scripts.
var programs scene.Programs

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "boragepost-scene-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	programs = scene.Programs{
		Boragepost: filepath.Join(dir, "boragepost"), Standin: filepath.Join(dir, "standin")}
	for path, pkg := range map[string]string{
		programs.Boragepost: "boragepost/cmd/boragepost", programs.Standin: "boragepost/cmd/standin",
	} {
		if out, err := exec.Command("go", "build", "-o", path, pkg).CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v: %s\n", pkg, err, out)
			return 1
		}
	}
	return m.Run()
}

// TestScenarios runs the scripts of testdata, one after another, because each
// starts some thirty processes.
func TestScenarios(t *testing.T) {
	scripts, err := filepath.Glob("testdata/*.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, script := range scripts {
		t.Run(filepath.Base(script), func(t *testing.T) {
			testscript.RunT(sequential{t}, testscript.Params{
				Files: []string{script}, Setup: setup, Cmds: commands,
			})
		})
	}
}

// sequential keeps testscript from running scripts in parallel.
type sequential struct{ *testing.T }

// Parallel implements testscript.T.
func (sequential) Parallel() {}

// Run implements testscript.T.
func (s sequential) Run(name string, f func(testscript.T)) {
	s.T.Run(name, func(t *testing.T) { f(sequential{t}) })
}

// Verbose implements testscript.T.
func (sequential) Verbose() bool { return testing.Verbose() }

// Skip, Fatal and FailNow are those of testing.T.
var _ testscript.T = sequential{}

// drained holds when drains were accepted, by backend server.
var drained = map[string]time.Time{}

const sceneKey = "scene"

func setup(env *testscript.Env) error {
	s, err := scene.New(env.WorkDir, 1, programs)
	if err != nil {
		return err
	}
	env.Values[sceneKey] = s
	env.Defer(s.Close)
	return nil
}

func current(ts *testscript.TestScript) *scene.Deployment {
	return ts.Value(sceneKey).(*scene.Deployment)
}

// commands is the scenario language, beside testscript's own commands.
var commands = map[string]func(*testscript.TestScript, bool, []string){
	// start PATTERN... starts the processes that do not run.
	"start": each(func(s *scene.Deployment, name string) error {
		if s.IsRunning(name) {
			return nil
		}
		return s.Start(name)
	}),
	// ready PATTERN... waits until processes are ready.
	"ready": each(func(s *scene.Deployment, name string) error {
		if !scene.Wait(20*time.Second, func() bool { return s.IsReady(name) }) {
			return fmt.Errorf("%s did not become ready", name)
		}
		return nil
	}),
	// shutdown PATTERN... ends processes gracefully.
	"shutdown": each(func(s *scene.Deployment, name string) error { return s.Stop(name, 20*time.Second) }),
	// crash PATTERN... kills processes and waits for their end.
	"crash":  each(func(s *scene.Deployment, name string) error { return s.Crash(name) }),
	"freeze": signal(syscall.SIGSTOP),
	"thaw":   signal(syscall.SIGCONT),
	// apply FILE creates or replaces the services of a file.
	"apply": func(ts *testscript.TestScript, _ bool, args []string) {
		services, err := conf.LoadServices(ts.MkAbs(args[0]))
		ts.Check(err)
		for _, svc := range services {
			_, err := current(ts).API.PutService(context.Background(), svc, ^uint64(0))
			ts.Check(err)
		}
	},
	// wipe PATTERN... removes the data of stopped control replicas.
	"wipe": each(func(s *scene.Deployment, name string) error { return s.Wipe(name) }),
	// changes SERVICE N changes a service N times, one after another.
	"changes": func(ts *testscript.TestScript, _ bool, args []string) {
		api := current(ts).API
		for range int(number(ts, args[1])) {
			view, err := api.Service(context.Background(), args[0])
			ts.Check(err)
			svc := view.Service
			svc.LongRoutes = []string{fmt.Sprintf("/long%d", view.Generation%10)}
			_, err = api.PutService(context.Background(), svc, view.ResourceVersion)
			ts.Check(err)
		}
	},
	// inForce SERVICE GENERATION waits until a generation is in force in all zones.
	"inForce": func(ts *testscript.TestScript, _ bool, args []string) {
		want := number(ts, args[1])
		var view ctrl.ServiceView
		ok := scene.Wait(10*time.Second, func() bool {
			var err error
			view, err = current(ts).API.Service(context.Background(), args[0])
			return err == nil && float64(view.Generation) == want && len(view.Status.Zones) == len(current(ts).Topology.Zones) &&
				view.Status.ObservedGeneration == view.Generation
		})
		if !ok {
			ts.Fatalf("generation %v of %s is not in force: %+v", want, args[0], view)
		}
	},
	// drain SERVICE SERVER lets a backend server leave.
	"drain": func(ts *testscript.TestScript, _ bool, args []string) {
		_, err := current(ts).API.Drain(context.Background(), args[0], args[1])
		ts.Check(err)
		drained[args[1]] = time.Now()
	},
	// noNewFlow SERVER DURATION checks that a draining backend server has taken no
	// new flow since a duration after the drain was accepted.
	"noNewFlow": func(ts *testscript.TestScript, _ bool, args []string) {
		limit, err := time.ParseDuration(args[1])
		ts.Check(err)
		ledgers, err := current(ts).ServerReports()
		ts.Check(err)
		for _, l := range ledgers {
			last := time.UnixMilli(l.NewFlowAt)
			if l.Server == args[0] && last.After(drained[args[0]].Add(limit)) {
				ts.Fatalf("%s took a new flow %v after its drain", args[0], last.Sub(drained[args[0]]))
			}
		}
		if time.Since(drained[args[0]]) <= limit {
			ts.Fatalf("too early to tell")
		}
	},
	// servers N waits until N backend servers are announced.
	"servers": func(ts *testscript.TestScript, _ bool, args []string) {
		want := number(ts, args[0])
		ok := scene.Wait(20*time.Second, func() bool {
			list, err := current(ts).API.Servers(context.Background())
			return err == nil && float64(len(list.Items)) == want
		})
		if !ok {
			ts.Fatalf("not %v backend servers", want)
		}
	},
	// sleep DURATION lets time pass.
	"sleep": func(ts *testscript.TestScript, _ bool, args []string) {
		d, err := time.ParseDuration(args[0])
		ts.Check(err)
		time.Sleep(d)
	},
	// flows FIELD min|max N and orders FIELD min|max N check a caller's report.
	"flows": check(func(s *scene.Deployment) (any, error) { return s.Flows() }),
	"orders": check(func(s *scene.Deployment) (any, error) {
		return s.Orders()
	}),
	// harmless checks that nothing that must never happen has happened.
	"harmless": func(ts *testscript.TestScript, _ bool, _ []string) {
		s := current(ts)
		flows, err := s.Flows()
		ts.Check(err)
		orders, err := s.Orders()
		ts.Check(err)
		ledgers, err := s.ServerReports()
		ts.Check(err)
		r := demo.Report{BrokenFlows: flows.Broken, Mismatched: flows.Mismatched + orders.Mismatched, Lost: orders.Lost}
		r.AddServerReports(ledgers, orders)
		ts.Logf("flows %+v", flows)
		ts.Logf("requests=%d answered=%d notRun=%d unknown=%d", orders.Requests, orders.Answered, orders.NotRun, orders.Unknown)
		if r.Violations() > 0 {
			ts.Fatalf("harm: %+v, broken for %v", r, flows.Reasons)
		}
	},
}

func each(f func(*scene.Deployment, string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		for _, pattern := range args {
			names := current(ts).Names(pattern)
			if len(names) == 0 {
				ts.Fatalf("no process matches %s", pattern)
			}
			for _, name := range names {
				ts.Check(f(current(ts), name))
			}
		}
	}
}

func signal(sig syscall.Signal) func(*testscript.TestScript, bool, []string) {
	return each(func(s *scene.Deployment, name string) error { return s.Signal(name, sig) })
}

// check compares a field of a report once it has had time to reach the bound.
func check(report func(*scene.Deployment) (any, error)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		if len(args) != 3 {
			ts.Fatalf("usage: FIELD min|max N")
		}
		bound := number(ts, args[2])
		var got float64
		ok := scene.Wait(15*time.Second, func() bool {
			r, err := report(current(ts))
			if err != nil {
				return false
			}
			got, err = scene.Field(r, args[0])
			return err == nil && (args[1] == "min" && got >= bound || args[1] == "max" && got <= bound)
		})
		if !ok {
			ts.Fatalf("%s is %v, want %s %v", args[0], got, args[1], bound)
		}
	}
}

func number(ts *testscript.TestScript, text string) float64 {
	v, err := strconv.ParseFloat(text, 64)
	ts.Check(err)
	return v
}
