package harness

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Machine is one machine that runs one process of boragepost.
type Machine struct {
	Name, Zone string
	IP         netip.Addr
	// Control makes it a core machine instead of a frontend machine.
	Control bool
	// Seeds are the machines that its settings name as seeds.
	Seeds []*Machine

	d      *Deployment
	dir    string
	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{} // closed when the process has ended
}

// AddMachine adds a machine that is not started yet.
func (d *Deployment) AddMachine(name, zone string, host int, control bool) *Machine {
	m := &Machine{Name: name, Zone: zone, IP: d.Address(host), Control: control, d: d, dir: filepath.Join(d.dir, name)}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machines = append(d.machines, m)
	return m
}

// settings returns the settings file, in the layout of the platform.
func (m *Machine) settings(bootstrap bool) string {
	var seeds []string
	for _, s := range m.Seeds {
		seeds = append(seeds, fmt.Sprintf("%q", m.d.ControlAddress(s)))
	}
	class, serves, disk := "frontend", "frontend", ""
	listen := fmt.Sprintf("datagram-address = %q\nready = %q\n",
		netip.AddrPortFrom(m.IP, m.d.Ports.Packets), netip.AddrPortFrom(m.IP, m.d.Ports.Ready))
	if m.Control {
		class, serves = "core", "control_plane"
		disk = fmt.Sprintf("data-directory = %q\n", m.dataDir())
		listen = fmt.Sprintf("control = %q\n", m.d.ControlAddress(m))
	}
	return fmt.Sprintf(`node-name = %q
machine-class = %q
serves = [%q]
ip-address = %q
zone = %q
region = "south"
internal-port-range = [%d, %d]
seed-nodes = [%s]
bootstrap = %v
counted-in-tolerance = %v
discovery = "registration"
entry = "announcement"
heartbeat-interval-ms = 770
contracts = ["base", "drain", "config", "cost", "recover", "flows"]
config_mode = "highest"
hash-function = "mod"
forwarding-mode = "echo"
%s
[zones]
south-a = "south"
south-b = "south"
south-c = "south"

[listen-addresses]
%s
[limits]
memory-mb = 284
fd-limit = 4100

[fault-tolerance]
machines = 1
zones = 1
regions = 0

[bounds]
seed-lag-s = 3
reuse-after-s = 2
touch-ms = 4000
ack-timeout-ms = 5000
catch-up-s = 4
drain-timeout-ms = 3000
grace-period-s = 6
loss-slack-ms = 200
config-apply-ms = 3000
rollback-slack-ms = 250
max-stretch-ms = 12000
recovery-s = 12
flow-reorder-ms = 2000
flow-lifetime-s = 60
`, m.Name, class, serves, m.IP, m.Zone, m.d.Ports.Link, m.d.Ports.Link, strings.Join(seeds, ", "), bootstrap, m.Control, disk, listen)
}

func (m *Machine) dataDir() string { return filepath.Join(m.dir, "data") }

// Start starts the process. bootstrap is true only when the whole deployment starts for
// the first time.
func (m *Machine) Start(bootstrap bool) error {
	if err := os.MkdirAll(m.dir, 0o755); err != nil {
		return err
	}
	path := filepath.Join(m.dir, "settings.toml")
	if err := os.WriteFile(path, []byte(m.settings(bootstrap)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(m.d.program, "platform")
	cmd.Env = append(os.Environ(), "BORAGEPOST_SETTINGS="+path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", m.Name, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	exited := make(chan struct{})
	m.cmd, m.exited = cmd, exited
	go func() {
		cmd.Wait()
		close(exited)
	}()
	m.d.Note("%s is started at %v, bootstrap = %v", m.Name, m.IP, bootstrap)
	return nil
}

// Signal sends a signal to the process.
func (m *Machine) Signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		m.cmd.Process.Signal(s)
	}
}

// Kill kills the process, if it runs, and waits until it has ended.
func (m *Machine) Kill() {
	m.Signal(syscall.SIGKILL)
	m.wait(time.Minute)
}

// wait waits until the process has ended, and reports false after a timeout.
func (m *Machine) wait(timeout time.Duration) bool {
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Terminate sends SIGTERM, and SIGKILL after the grace period.
func (m *Machine) Terminate() {
	m.d.Note("%s gets SIGTERM", m.Name)
	m.Signal(syscall.SIGTERM)
	if !m.wait(GracePeriod) {
		m.Kill()
	}
	m.d.Note("%s has ended", m.Name)
}

// LoseDisk kills the process and removes its data directory.
func (m *Machine) LoseDisk() error {
	m.Kill()
	m.d.Note("%s has lost its power and its disk", m.Name)
	return os.RemoveAll(m.dataDir())
}
