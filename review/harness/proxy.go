package harness

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Link is a proxy on the way from one machine to a port of another, which can be cut. A
// cut is silent: bytes on open connections are held up, and new connections get no
// answer.
type Link struct {
	Address string
	d       *Deployment
	target  string
	mu      sync.Mutex
	cut     bool
	// resumeAt is when bytes that were held up go on, as their sender's kernel repeats
	// them ever later.
	resumeAt time.Time
}

// StartLink starts a proxy at an address.
func (d *Deployment) StartLink(at netip.AddrPort, target string) (*Link, error) {
	listener, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, err
	}
	l := &Link{Address: listener.Addr().String(), d: d, target: target}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn)
		}
	}()
	return l, nil
}

// Cut cuts the link for a time. Bytes that are sent meanwhile on connections that are open
// arrive when heldFor has passed.
func (l *Link) Cut(duration, heldFor time.Duration) {
	l.mu.Lock()
	l.cut, l.resumeAt = true, time.Now().Add(heldFor)
	l.mu.Unlock()
	time.AfterFunc(duration, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.cut = false
	})
}

func (l *Link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

func (l *Link) serve(client net.Conn) {
	defer client.Close()
	if l.isCut() {
		io.Copy(io.Discard, client) // as if the opening packet got no answer
		return
	}
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer server.Close()
	go func() {
		io.Copy(client, server)
		client.Close()
	}()
	buf := make([]byte, 4096)
	for {
		n, err := client.Read(buf)
		if l.isCut() {
			l.mu.Lock()
			wait := time.Until(l.resumeAt)
			l.mu.Unlock()
			time.Sleep(wait)
			l.d.Note("bytes that the cut had held up arrive: %q", buf[:n])
		}
		if n > 0 {
			if _, err := server.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			// The sender's end has gone; what it had sent before has arrived.
			time.Sleep(time.Second)
			return
		}
	}
}
