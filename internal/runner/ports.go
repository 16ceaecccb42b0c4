package runner

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// lowestPort and portSpan bound the ports that fleets take by themselves. They lie below the range from which systems
	// give ports to outgoing connections: one of those could take a port between two starts of a process.
	lowestPort = 10000
	portSpan   = 20000
	// portStride keeps processes that run side by side apart.
	portStride = 397
)

// taken counts the ports handed out in this process.
var taken atomic.Uint32

// ports hands out loopback addresses: consecutive ones from a first port, or free ones.
type ports struct {
	next uint32
}

func (p *ports) take() (netip.AddrPort, error) {
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	if p.next > 0 {
		p.next++
		return netip.AddrPortFrom(loopback, uint16(p.next-1)), nil
	}
	start := uint32(os.Getpid()) * portStride
	for range portSpan {
		port := lowestPort + (start+taken.Add(1))%portSpan
		addr := netip.AddrPortFrom(loopback, uint16(port))
		if ln, err := net.Listen("tcp", addr.String()); err == nil {
			return addr, ln.Close()
		}
	}
	return netip.AddrPort{}, errors.New("no free port on loopback")
}
