package links

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/coder/websocket"
)

// Options configures a client. All fields are optional.
type Options[S, R any] struct {
	// Opened is called on each new connection before its messages are delivered.
	Opened func(*Conn[S, R])
	// Received is called for each message, in order.
	Received func(R)
	// Closed is called when an open connection has ended.
	Closed func()
	Meter  *Meter
	// Heartbeat is the interval of heartbeats; 0 sends and expects none.
	Heartbeat time.Duration
}

// Client keeps a connection to one of a list of addresses. Each dial tries the next
// address of the list.
type Client[S, R any] struct {
	urls    []string
	nextURL int
	opts    Options[S, R]
	mu      sync.Mutex
	conn    *Conn[S, R]
}

// NewClient returns a client that stays connected to one address until ctx ends.
func NewClient[S, R any](ctx context.Context, addr, path string, opts Options[S, R]) *Client[S, R] {
	return NewFailoverClient(ctx, []string{addr}, path, opts)
}

// NewFailoverClient returns a client that stays connected to one of several addresses
// until ctx ends. There must be at least one address.
func NewFailoverClient[S, R any](ctx context.Context, addrs []string, path string, opts Options[S, R]) *Client[S, R] {
	c := &Client[S, R]{opts: opts}
	for _, addr := range addrs {
		c.urls = append(c.urls, "ws://"+addr+path)
	}
	go c.run(ctx)
	return c
}

// Send queues a message. It reports false when there is no connection or the message
// cannot be queued on it.
func (c *Client[S, R]) Send(m S) bool {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	return conn != nil && conn.Send(m)
}

// SendEncoded is like Send for a message that is already encoded.
func (c *Client[S, R]) SendEncoded(e Encoded[S]) bool {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	return conn != nil && conn.SendEncoded(e)
}

// Reconnect closes the current connection. The client dials again.
func (c *Client[S, R]) Reconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.Close()
	}
}

func (c *Client[S, R]) run(ctx context.Context) {
	timeout := firstDialTimeout
	for ctx.Err() == nil {
		conn, err := dial[S, R](ctx, c.urls[c.nextURL%len(c.urls)], c.opts, timeout)
		c.nextURL++
		timeout *= 2
		if err == nil {
			c.serve(conn)
		}
		if err == nil || timeout > dialTimeout {
			timeout = firstDialTimeout
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

func dial[S, R any](ctx context.Context, url string, opts Options[S, R], timeout time.Duration) (*Conn[S, R], error) {
	dctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ws, _, err := websocket.Dial(dctx, url, nil)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", url, err)
	}
	return newConn[S, R](ctx, ws, opts.Meter, opts.Heartbeat), nil
}

func (c *Client[S, R]) serve(conn *Conn[S, R]) {
	c.setConn(conn)
	defer c.setConn(nil)
	defer conn.Close()
	if c.opts.Opened != nil {
		c.opts.Opened(conn)
	}
	if c.opts.Closed != nil {
		defer c.opts.Closed()
	}
	for m := range conn.Messages() {
		if c.opts.Received != nil {
			c.opts.Received(m)
		}
	}
}

func (c *Client[S, R]) setConn(conn *Conn[S, R]) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn
}
