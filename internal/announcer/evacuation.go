package announcer

import "github.com/lavenderhub/lavenderhub/schema"

// SetEvacuated tells whether the failure domain of this node is evacuated. While it is, the gates of all upstreams refuse new and
// waiting requests, and requests in progress continue. The upstreams are still reported to other nodes as they are.
func (a *Announcer) SetEvacuated(evacuated bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.evacuated = evacuated
	for _, up := range a.byService {
		a.applyState(up)
	}
}

// applyState makes the gate of an upstream accept or refuse requests.
func (a *Announcer) applyState(up *Upstream) {
	if up.state == schema.UpstreamState_UPSTREAM_STATE_READY && !a.stopping && !a.evacuated {
		up.Gate.Resume()
	} else {
		up.Gate.Drain()
	}
}
