// Package ranker orders nodes by rendezvous hashing.
package ranker

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the first n nodes for a name. When a node comes or goes, only the names change that it ranks among the first
// for.
func Rank(name string, nodes []netip.AddrPort, n int) []netip.AddrPort {
	type scored struct {
		addr  netip.AddrPort
		score uint64
	}
	list := make([]scored, len(nodes))
	for i, addr := range nodes {
		list[i] = scored{addr, xxhash.Sum64String(name + " " + addr.String())}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), a.addr.Compare(b.addr))
	})
	out := make([]netip.AddrPort, min(n, len(list)))
	for i := range out {
		out[i] = list[i].addr
	}
	return out
}
