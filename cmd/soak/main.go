// Command soak runs boragepost under random faults on this machine and checks its
// invariants. It is meant for development and CI only.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"boragepost/platform/soak"
	"boragepost/platform/stand"
)

func main() {
	app := kingpin.New("soak", "Run boragepost under random faults and check its invariants.")
	program := app.Flag("program", "Path of the boragepost binary.").Default("target/boragepost").String()
	standIn := app.Flag("standin", "Path of the stand-in binary.").Default("target/standin").String()
	seed := app.Flag("seed", "First seed; 0 chooses a random one.").Uint64()
	seeds := app.Flag("seeds", "Number of consecutive seeds to run.").Default("1").Int()
	dir := app.Flag("dir", "Directory for data and logs.").Default(filepath.Join(os.TempDir(), "boragepost-soak")).String()
	faults := app.Flag("faults", "Number of faults.").Default("12").Int()
	length := app.Flag("length", "Time within which faults start.").Default("15s").Duration()
	control := app.Flag("control", "Number of control replicas.").Default("3").Int()
	entries := app.Flag("entries", "Number of entry instances.").Default("4").Int()
	servers := app.Flag("servers", "Number of backend servers.").Default("6").Int()
	skip := app.Flag("skip", "Index of a fault to skip; may be repeated.").Ints()
	shrink := app.Flag("shrink", "Find the faults without which a failing seed still fails.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if *seed == 0 {
		*seed = rand.Uint64N(1 << 32)
	}
	failed := 0
	for i := range uint64(*seeds) {
		cfg := soak.Config{
			Seed: *seed + i, Programs: stand.Programs{Boragepost: *program, StandIn: *standIn}, Dir: filepath.Join(*dir, fmt.Sprint("seed", *seed+i)),
			Faults: *faults, FaultWindow: *length, Control: *control, Entries: *entries, Servers: *servers, Skip: *skip,
		}
		if !runSeed(ctx, cfg, *shrink) {
			failed++
		}
		if ctx.Err() != nil {
			break
		}
	}
	if failed > 0 {
		os.Exit(1)
	}
}

// runSeed runs one seed and reports whether it passed.
func runSeed(ctx context.Context, cfg soak.Config, shrink bool) bool {
	start := time.Now()
	if err := os.RemoveAll(cfg.Dir); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return false
	}
	result, err := soak.Run(ctx, cfg)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return false
	}
	if result.Passed() {
		fmt.Printf("seed %d passed in %v\n", cfg.Seed, time.Since(start).Round(time.Second))
		return true
	}
	fmt.Print(result)
	if shrink {
		shrunk, err := soak.Shrink(ctx, cfg, func(line string) { fmt.Println(line) })
		if err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
		}
		fmt.Printf("still fails with --seed %d and without the faults %v\n", cfg.Seed, shrunk.Skip)
	}
	return false
}
