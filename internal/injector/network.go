// Package injector injects network failures into the connections of a fleet, for tests and experiments.
package injector

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/dialer"
)

// Network opens the connections of a fleet's processes and can stop them from delivering data, without an error: no
// connection is refused or closed.
type Network struct {
	mu       sync.Mutex
	isolated map[string]bool
	conns    []*blackholeConn
}

// New returns a Network without failures.
func New() *Network {
	return &Network{isolated: map[string]bool{}}
}

// Dial returns the function that opens the connections of a process.
func (n *Network) Dial(process string) dialer.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if n.isIsolated(process, address) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &blackholeConn{Conn: conn, network: n, process: process, address: address, closed: make(chan struct{})}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conns = append(n.conns, c)
		return c, nil
	}
}

// Isolate partitions a process from the network: connections from it and to addr, the address that it serves, deliver no
// data.
func (n *Network) Isolate(process string, addr netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[process], n.isolated[addr.String()] = true, true
}

// Heal ends all partitions. Connections that were used during a partition stay blackholed.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated = map[string]bool{}
}

// Blackhole permanently stops the open connections of a process from delivering data, and returns their number. New
// connections work.
func (n *Network) Blackhole(process string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, c := range n.conns {
		if c.process == process && !c.blackholed {
			c.blackholed = true
			count++
		}
	}
	return count
}

func (n *Network) isIsolated(process, target string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isolated[process] || n.isolated[target]
}

// blackholeConn is a connection that can be blackholed: it then stays open, but delivers no data.
type blackholeConn struct {
	net.Conn
	network    *Network
	process    string
	address    string
	blackholed bool
	closeOnce  sync.Once
	closed     chan struct{}
}

func (c *blackholeConn) isBlackholed() bool {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if c.network.isolated[c.process] || c.network.isolated[c.address] {
		// Data may have been lost, so the connection can't work again after the partition ends.
		c.blackholed = true
	}
	return c.blackholed
}

// Read blocks until Close when the connection is blackholed.
func (c *blackholeConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isBlackholed() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write discards p when the connection is blackholed.
func (c *blackholeConn) Write(p []byte) (int, error) {
	if c.isBlackholed() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *blackholeConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// SetReadDeadline does nothing, because no code sets read deadlines on these connections.
func (c *blackholeConn) SetReadDeadline(time.Time) error {
	return nil
}
