// Command 2 is the second case of the review: a backend server leaves as planned and
// starts again under its identifier, and the call with which it left is delayed by a
// partition.
package main

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"boragepost/review/harness"
)

const (
	drainTimeout = 3 * time.Second
	// cutTime is the longest node_cut of the site file.
	cutTime = 10 * time.Second
	// heldTime is when the kernel of the sender repeats its bytes after cutTime: 0.2, 0.6,
	// 1.4, 3, 6.2 and 12.6 s after they were sent first.
	heldTime = 12600 * time.Millisecond
	deadline = 2 * time.Second
)

var (
	errNotAcknowledged = errors.New("the configuration was not acknowledged")
	errFewFlows        = errors.New("too few flows were opened at the restarted server")
)

func main() { harness.Run("review/2", run) }

func run(d *harness.Deployment) error {
	trouble := d.Trouble != "0"
	route := netip.AddrPortFrom(d.Address(250), 8443)
	a := d.AddMachine("core-south-a-1", "south-a", 1, true)
	b := d.AddMachine("core-south-b-1", "south-b", 2, true)
	c := d.AddMachine("core-south-c-1", "south-c", 3, true)
	e1 := d.AddMachine("frontend-south-a-1", "south-a", 11, false)
	e2 := d.AddMachine("frontend-south-a-2", "south-a", 12, false)
	core := []*harness.Machine{a, b, c}
	for _, m := range append([]*harness.Machine{e1, e2}, core...) {
		m.Seeds = core
		if err := m.Start(true); err != nil {
			return err
		}
	}
	document := harness.Configuration(1, []string{"yard"}, harness.Route("r", route.Addr().String(), int(route.Port()), "yard"))
	if d.Put(1, document, 10*time.Second, core...) == nil {
		return errNotAcknowledged
	}

	// The machine of server x reaches each core machine through a link that can be cut.
	var links []*harness.Link
	var nodes, linked []string
	for i, m := range core {
		l, err := d.StartLink(netip.AddrPortFrom(d.Address(31+i), d.Ports.Control), d.ControlAddress(m))
		if err != nil {
			return err
		}
		links, linked, nodes = append(links, l), append(linked, l.Address), append(nodes, d.ControlAddress(m))
	}
	x := &harness.Server{Name: "x", Service: "yard", Zone: "south-a", ID: 0x7f3a91c2, Address: netip.AddrPortFrom(d.Address(101), d.Ports.Ready), Nodes: linked}
	// Server x is one of four, so that the share of servers that are cut off is 0.25.
	servers := []*harness.Server{x}
	for i := range 3 {
		servers = append(servers, &harness.Server{Name: fmt.Sprint("y", i+1), Service: "yard", Zone: "south-a",
			ID: 0x51b20d77 + uint32(i), Address: netip.AddrPortFrom(d.Address(102+i), d.Ports.Ready), Nodes: nodes})
	}
	for _, s := range servers {
		if err := d.StartServer(s); err != nil {
			return err
		}
		<-s.Acked()
	}
	client, err := d.StartClient(200, e1, e2)
	if err != nil {
		return err
	}
	if err := client.AwaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(harness.TouchTime)

	// Server x leaves as planned.
	x.Drain()
	time.Sleep(drainTimeout + 500*time.Millisecond)
	conn, err := net.Dial("tcp", linked[0])
	if err != nil {
		return err
	}
	if err := call(conn, "PUT", x.Path(), x.Body()); err != nil {
		return err
	}
	if trouble {
		d.Note("the machine of server x is cut off from all core machines for %v", cutTime)
		for _, l := range links {
			l.Cut(cutTime, heldTime)
		}
	}
	cutAt := time.Now()
	d.Note("server x sends DELETE %s to %s", x.Path(), a.Name)
	if err := call(conn, "DELETE", x.Path(), nil); err != nil {
		d.Note("server x: no answer to DELETE from %s within a second: %v", a.Name, err)
		for _, node := range linked[1:] {
			status, _ := d.Call("DELETE", node, x.Path(), nil)
			d.Note("server x sends DELETE to the next node: status %d", status)
		}
	} else {
		d.Note("server x: DELETE is acknowledged")
	}
	conn.Close()
	x.Stop()
	time.Sleep(2 * time.Second)

	// It starts again under the identifier that it had.
	again := &harness.Server{Name: "x, started again,", Service: "yard", Zone: "south-a", ID: x.ID, Address: x.Address, Nodes: linked}
	if err := d.StartServer(again); err != nil {
		return err
	}
	<-again.Acked()
	if trouble {
		d.Note("the cut has ended %.1f s ago", time.Since(cutAt.Add(cutTime)).Seconds())
	}
	time.Sleep(300 * time.Millisecond)
	var flows []*harness.Flow
	for range 40 {
		f, err := client.Open(route)
		if err != nil || f.Request(deadline) != nil || f.Echo() != again.ID {
			continue
		}
		if flows = append(flows, f); len(flows) == 4 {
			break
		}
	}
	if len(flows) == 0 {
		return errFewFlows
	}
	d.Note("%d flows are open at server x, started again", len(flows))

	// The clients pause, until the cut has ended and its last bytes have arrived longer ago
	// than touch-ms.
	time.Sleep(time.Until(cutAt.Add(heldTime + harness.TouchTime + time.Second)))
	d.Note("nothing has been disrupted for more than touch-ms")
	resets := 0
	for _, f := range flows {
		if errors.Is(f.Request(deadline), harness.ErrSystemReset) {
			resets++
		}
	}
	d.Note("server x, started again: a heartbeat is acknowledged: %v", again.Beat())
	if resets > 0 {
		return harness.Broken("FLOW: %d of %d open flows were reset, while their backend server lives", resets, len(flows))
	}
	return nil
}

// call sends a call on a connection and waits a second for an answer with status 2xx.
func call(conn net.Conn, method, path string, body []byte) error {
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body)
	conn.SetReadDeadline(time.Now().Add(time.Second))
	answer := make([]byte, 4096)
	n, err := conn.Read(answer)
	if err != nil {
		return err
	}
	var status int
	if _, err := fmt.Sscanf(string(answer[:n]), "HTTP/1.1 %d", &status); err != nil {
		return err
	}
	if status/100 != 2 {
		return fmt.Errorf("status %d", status)
	}
	return nil
}
