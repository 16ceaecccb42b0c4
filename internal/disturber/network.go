// Package disturber cuts off the connections of a fleet in silence, for tests and experiments.
package disturber

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/dialer"
)

// Network opens the connections of a fleet's processes and can cut them off in silence: nothing is refused or closed,
// bytes just do not arrive.
type Network struct {
	mu    sync.Mutex
	cut   map[string]bool
	conns []*silentConn
}

// New returns a Network without cuts.
func New() *Network {
	return &Network{cut: map[string]bool{}}
}

// Dial returns the function that opens the connections of one process.
func (n *Network) Dial(process string) dialer.DialFunc {
	return func(ctx context.Context, kind, address string) (net.Conn, error) {
		if n.isCut(process, address) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, kind, address)
		if err != nil {
			return nil, err
		}
		c := &silentConn{Conn: conn, network: n, from: process, to: address, closed: make(chan struct{})}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conns = append(n.conns, c)
		return c, nil
	}
}

// Isolate cuts a process off, to and from the address that it serves.
func (n *Network) Isolate(process string, addr netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[process], n.cut[addr.String()] = true, true
}

// Heal ends all cuts. What went silent before stays so.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = map[string]bool{}
}

// Silence makes the open connections of a process go silent for good; new ones work. It returns their number.
func (n *Network) Silence(process string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, c := range n.conns {
		if c.from == process && !c.silent {
			c.silent = true
			count++
		}
	}
	return count
}

func (n *Network) isCut(process, target string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[process] || n.cut[target]
}

// silentConn is a connection that can go silent.
type silentConn struct {
	net.Conn
	network *Network
	from    string
	to      string
	silent  bool
	once    sync.Once
	closed  chan struct{}
}

func (c *silentConn) isSilent() bool {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if c.network.cut[c.from] || c.network.cut[c.to] {
		// A connection that lost bytes is of no use later.
		c.silent = true
	}
	return c.silent
}

// Read waits for ever once the connection is silent.
func (c *silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write loses what is written to a silent connection.
func (c *silentConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *silentConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// SetReadDeadline does nothing: no part of the program sets one on these connections.
func (c *silentConn) SetReadDeadline(time.Time) error {
	return nil
}
