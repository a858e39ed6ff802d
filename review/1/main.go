// Command 1 is the first case of the review: a core machine is replaced as planned, and
// just afterwards another one loses its disk.
package main

import (
	"errors"
	"time"

	"boragepost/review/harness"
)

var errNotAcknowledged = errors.New("a configuration was not acknowledged before the disruption")

func main() { harness.Run("review/1", run) }

// routeHost is a host number that no machine of the deployment has.
const routeHost = 250

func document(d *harness.Deployment, version int) []byte {
	return harness.Configuration(version, []string{"yard"}, harness.Route("r", d.Address(routeHost).String(), 8443, "yard"))
}

func run(d *harness.Deployment) error {
	a := d.AddMachine("core-south-a-1", "south-a", 1, true)
	b := d.AddMachine("core-south-b-1", "south-b", 2, true)
	c := d.AddMachine("core-south-c-1", "south-c", 3, true)
	successor := d.AddMachine("core-south-c-2", "south-c", 4, true)
	for _, m := range []*harness.Machine{a, b, c, successor} {
		m.Seeds = []*harness.Machine{a, b, c}
	}
	for _, m := range []*harness.Machine{a, b, c} {
		if err := m.Start(true); err != nil {
			return err
		}
	}
	if d.Put(1, document(d, 1), 10*time.Second, a, b, c) == nil {
		return errNotAcknowledged
	}
	time.Sleep(harness.CatchUpTime)

	if d.Trouble == "three" {
		return replaceAll(d, a, b, c)
	}

	// The planned replacement: the new machine first, then SIGTERM for the old one when
	// the new one has had twice the catch-up time.
	replace := d.Trouble != "0" && d.Trouble != "wipe"
	nodes := []*harness.Machine{a, b, c}
	if replace {
		if err := successor.Start(false); err != nil {
			return err
		}
		time.Sleep(2 * harness.CatchUpTime)
		nodes = []*harness.Machine{a, b, successor}
	}
	if d.Put(2, document(d, 2), 10*time.Second, nodes...) == nil {
		return errNotAcknowledged
	}
	if replace {
		c.Terminate() // it is never started again
	}

	// One machine loses its disk right after it has acknowledged a change. No other
	// machine is lost then.
	acknowledged := d.Put(3, document(d, 3), 10*time.Second, b, a)
	if acknowledged == nil {
		return errNotAcknowledged
	}
	if d.Trouble != "0" && d.Trouble != "replace" {
		if err := acknowledged.LoseDisk(); err != nil {
			return err
		}
		time.Sleep(3 * time.Second)
		acknowledged.Seeds = nodes
		if err := acknowledged.Start(false); err != nil {
			return err
		}
	}
	return judge(d, 3, nodes...)
}

// replaceAll replaces all three core machines as planned, at the same time.
func replaceAll(d *harness.Deployment, old ...*harness.Machine) error {
	var successors []*harness.Machine
	for i, m := range old {
		s := d.AddMachine("successor-of-"+m.Name, m.Zone, 4+i, true)
		s.Seeds = old
		if err := s.Start(false); err != nil {
			return err
		}
		successors = append(successors, s)
	}
	time.Sleep(harness.CatchUpTime + time.Second)
	for version := 2; version <= 3; version++ {
		if d.Put(version, document(d, version), 10*time.Second, successors...) == nil {
			return errNotAcknowledged
		}
	}
	for _, m := range old {
		m.Terminate()
	}
	return judge(d, 3, successors...)
}

// judge waits until every bound has passed, and then reads the configuration and sends
// another one.
func judge(d *harness.Deployment, acknowledged int, nodes ...*harness.Machine) error {
	time.Sleep(harness.CatchUpTime + harness.RecoveryTime)
	d.Note("all machines that are left have been back for the catch-up time and the recovery time")
	read := d.Get(20*time.Second, nodes...)
	put := d.Put(acknowledged+1, document(d, acknowledged+1), 20*time.Second, nodes...)
	switch {
	case read == 0:
		again, err := readAfterRestart(d, nodes)
		if err != nil {
			return err
		}
		return harness.Broken("CONFIG: the configuration doesn't come; version %d was acknowledged; a later one is: %v; read after a restart of all: version %d",
			acknowledged, put != nil, again)
	case read < acknowledged:
		return harness.Broken("CONFIG: version %d was read back, version %d was acknowledged", read, acknowledged)
	case put == nil:
		return harness.Broken("version %d was never acknowledged", acknowledged+1)
	}
	return nil
}

// readAfterRestart restarts all processes, which is no part of the verdict, and returns
// the version that is read then, or 0.
func readAfterRestart(d *harness.Deployment, nodes []*harness.Machine) (int, error) {
	for _, m := range nodes {
		m.Kill()
	}
	for _, m := range nodes {
		if err := m.Start(false); err != nil {
			return 0, err
		}
	}
	time.Sleep(harness.CatchUpTime)
	return d.Get(8*time.Second, nodes...), nil
}
