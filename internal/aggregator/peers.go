package aggregator

import (
	"net/netip"
	"sync"
	"time"
)

// peers records which nodes are not asked for tokens for some time. It is safe for concurrent use.
type peers struct {
	mu     sync.Mutex
	byAddr map[netip.AddrPort]avoidance
}

// avoidance is the time until which a node is not asked, and the pause that led to it.
type avoidance struct {
	until time.Time
	pause time.Duration
}

// recordFailure avoids a node for a time that doubles with each failure.
func (p *peers) recordFailure(addr netip.AddrPort, now time.Time) {
	p.mu.Lock()
	pause := p.byAddr[addr].pause
	if now.Before(p.byAddr[addr].until) {
		// Requests that failed together count once.
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.avoid(addr, min(maxAvoidance, max(minAvoidance, 2*pause)), now)
}

// recordSuccess forgets the failures of a node.
func (p *peers) recordSuccess(addr netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.byAddr, addr)
}

// avoid keeps a node from being asked for some time.
func (p *peers) avoid(addr netip.AddrPort, pause time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byAddr == nil {
		p.byAddr = map[netip.AddrPort]avoidance{}
	}
	p.byAddr[addr] = avoidance{until: now.Add(pause), pause: pause}
}

func (p *peers) isAvoided(addr netip.AddrPort, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.byAddr[addr].until)
}
