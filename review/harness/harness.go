// Package harness runs a small deployment of boragepost for the review: each role as a
// separate process of the built program, with the command of deploy/system.toml, on
// loopback addresses and the real clock. Operators, backend servers and callers are
// stand-ins. A case writes what was sent, answered and run to its record.
//
// # Usage
//
//	harness.Run("review/1", func(d *harness.Deployment) error { ... })
package harness

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// longestRun is below the 120 s that a case may take.
const longestRun = 115 * time.Second

// The bounds of the deployment, which are those of the users' small deployments.
const (
	TouchTime    = 4 * time.Second
	CatchUpTime  = 4 * time.Second
	RecoveryTime = 12 * time.Second
	GracePeriod  = 6 * time.Second
)

// BrokenError reports that a rule was broken.
type BrokenError struct{ What string }

var _ error = (*BrokenError)(nil)

// Error implements error.
func (e *BrokenError) Error() string { return e.What }

// Broken returns a BrokenError with a formatted text.
func Broken(format string, args ...any) error {
	return &BrokenError{What: fmt.Sprintf(format, args...)}
}

// Record is the record of a case.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// Note writes one line with the time since the start.
func (r *Record) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	r.file.WriteString(line)
	fmt.Print(line)
}

// Deployment is a deployment on the loopback addresses 127.SUBNET.0.0/24.
type Deployment struct {
	*Record
	// Trouble is the value of the variable TROUBLE; "0" means without the disruption.
	Trouble string
	Ports   Ports

	dir      string
	program  string
	subnet   byte
	mu       sync.Mutex
	machines []*Machine
}

// Ports are the ports that all machines use.
type Ports struct{ Packets, Ready, Control, Link uint16 }

// Run runs a case in the folder of a case and ends the process with its status.
func Run(folder string, run func(*Deployment) error) {
	status, err := runCase(folder, run)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(status)
}

func runCase(folder string, run func(*Deployment) error) (int, error) {
	program, err := filepath.Abs("target/boragepost")
	if err != nil {
		return statusNotRun, err
	}
	if _, err := os.Stat(program); err != nil {
		return statusNotRun, fmt.Errorf("the program is not built: %w", err)
	}
	path := filepath.Join(folder, "record.txt")
	if other := os.Getenv("RECORD"); other != "" {
		path = other // so that several runs can go on at the same time
	}
	file, err := os.Create(path)
	if err != nil {
		return statusNotRun, err
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "boragepost-review-")
	if err != nil {
		return statusNotRun, err
	}
	defer os.RemoveAll(dir)
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		defer copyLogs(dir, keep)
	}
	d := &Deployment{Record: &Record{file: file, start: time.Now()}, Trouble: os.Getenv("TROUBLE"), dir: dir, program: program}
	defer d.stop()
	if err := d.choosePorts(); err != nil {
		return statusNotRun, err
	}
	done := make(chan error, 1)
	go func() { done <- run(d) }()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	select {
	case err = <-done:
	case <-ctx.Done():
		err = errors.New("the case was stopped")
	case <-time.After(longestRun):
		err = errors.New("the case did not end in time")
	}
	var broken *BrokenError
	switch {
	case err == nil:
		d.Note("the rule held")
		return statusHeld, nil
	case errors.As(err, &broken):
		d.Note("THE RULE WAS BROKEN: %v", err)
		return statusBroken, nil
	default:
		d.Note("the case could not run: %v", err)
		return statusNotRun, err
	}
}

// choosePorts chooses ports and a subnet that are free.
func (d *Deployment) choosePorts() error {
	d.subnet = byte(20 + os.Getpid()%200)
	ports := []*uint16{&d.Ports.Packets, &d.Ports.Ready, &d.Ports.Control, &d.Ports.Link}
	for _, p := range ports {
		l, err := net.Listen("tcp", netip.AddrPortFrom(d.Address(1), 0).String())
		if err != nil {
			return fmt.Errorf("find a free port: %w", err)
		}
		defer l.Close()
		*p = l.Addr().(*net.TCPAddr).AddrPort().Port()
	}
	return nil
}

// Address returns the loopback address with a host number.
func (d *Deployment) Address(host int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.subnet, 0, byte(host)})
}

// ControlAddress returns the address for control calls of a machine.
func (d *Deployment) ControlAddress(m *Machine) string {
	return netip.AddrPortFrom(m.IP, d.Ports.Control).String()
}

// stop ends all processes that still run.
func (d *Deployment) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.machines {
		m.Kill()
	}
}

func copyLogs(from, to string) {
	logs, err := filepath.Glob(filepath.Join(from, "*", "log"))
	if err != nil || os.MkdirAll(to, 0o755) != nil {
		return
	}
	for _, path := range logs {
		if data, err := os.ReadFile(path); err == nil {
			os.WriteFile(filepath.Join(to, filepath.Base(filepath.Dir(path))+".log"), data, 0o600)
		}
	}
}
