// Command soak runs the product under random faults on this machine and checks its
// promises. It is used by developers and by the project's checks only.
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
	app := kingpin.New("soak", "Run the product under random faults and check its promises.")
	program := app.Flag("program", "The product's program.").Default("target/boragepost").String()
	standIn := app.Flag("standin", "The program of the stand-ins.").Default("target/standin").String()
	seed := app.Flag("seed", "First seed; 0 draws one.").Uint64()
	seeds := app.Flag("seeds", "Number of seeds to play, one after the other.").Default("1").Int()
	dir := app.Flag("dir", "Folder for disks and logs.").Default(filepath.Join(os.TempDir(), "boragepost-soak")).String()
	faults := app.Flag("faults", "Number of faults.").Default("12").Int()
	length := app.Flag("length", "Time over which faults start.").Default("15s").Duration()
	control := app.Flag("control", "Control replicas.").Default("3").Int()
	entries := app.Flag("entries", "Entry instances.").Default("4").Int()
	servers := app.Flag("servers", "Backend servers.").Default("6").Int()
	skip := app.Flag("skip", "Fault to leave out, by number; may be repeated.").Ints()
	shrink := app.Flag("shrink", "Leave out the faults that a failed seed does not need.").Bool()
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
			Subnet: byte(firstArea + (*seed+i)%areas),
			Faults: *faults, FaultWindow: *length, Control: *control, Entries: *entries, Servers: *servers, Skip: *skip,
		}
		if !play(ctx, cfg, *shrink) {
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

// Runs with neighbouring seeds use other loopback addresses, so that several may
// run at once.
const (
	firstArea = 20
	areas     = 200
)

// play plays one seed and reports whether it passed.
func play(ctx context.Context, cfg soak.Config, shrink bool) bool {
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
		left, err := soak.Shrink(ctx, cfg, func(line string) { fmt.Println(line) })
		if err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
		}
		fmt.Printf("still fails with --seed %d and without the faults %v\n", cfg.Seed, left.Skip)
	}
	return false
}
