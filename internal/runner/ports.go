package runner

import (
	"net"
	"net/netip"

	"github.com/pkg/errors"
)

// ports hands out loopback addresses: consecutive ones from a first port, or free ones of the system.
type ports struct {
	next uint32
}

func (p *ports) take() (netip.AddrPort, error) {
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	if p.next > 0 {
		p.next++
		return netip.AddrPortFrom(loopback, uint16(p.next-1)), nil
	}
	ln, err := net.Listen("tcp", netip.AddrPortFrom(loopback, 0).String())
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "find a free port")
	}
	defer func() { _ = ln.Close() }()
	return netip.ParseAddrPort(ln.Addr().String())
}
