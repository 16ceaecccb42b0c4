package runner

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// lowestPort and portSpan define the range of ports that are allocated by default. It lies below the range of ephemeral
	// ports: an outgoing connection could otherwise take a port while the process that uses it restarts.
	lowestPort = 10000
	portSpan   = 20000
	// portStride is the distance between the first ports of processes with consecutive IDs, so that test processes that
	// run in parallel try different ports.
	portStride = 397
)

// triedPorts counts the ports that this process has tried.
var triedPorts atomic.Uint32

// portAllocator allocates loopback addresses.
type portAllocator struct {
	// next is the next port to allocate. If it is zero, the allocator looks for free ports.
	next uint32
}

func (p *portAllocator) allocate() (netip.AddrPort, error) {
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	if p.next > 0 {
		p.next++
		return netip.AddrPortFrom(loopback, uint16(p.next-1)), nil
	}
	start := uint32(os.Getpid()) * portStride
	for range portSpan {
		port := lowestPort + (start+triedPorts.Add(1))%portSpan
		addr := netip.AddrPortFrom(loopback, uint16(port))
		if ln, err := net.Listen("tcp", addr.String()); err == nil {
			return addr, ln.Close()
		}
	}
	return netip.AddrPort{}, errors.New("no free port on loopback")
}
