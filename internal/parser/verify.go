package parser

import (
	"fmt"
	"slices"

	"github.com/lavenderhub/lavenderhub/internal/resolver"
	"github.com/lavenderhub/lavenderhub/schema"
)

// maxControlHosts is the most control hosts that a fleet may set aside.
const maxControlHosts = 15

// verify checks what the schema alone can't say.
func verify(cfg *schema.Settings, w *walker) {
	if cfg.GetNode() == nil && cfg.GetControl() == nil && cfg.GetFleet() == nil {
		w.failAt("", "the settings need at least one of node, control and fleet")
	}
	if cfg.GetFleet() != nil && (cfg.GetNode() != nil || cfg.GetControl() != nil) {
		w.failAt("fleet", "fleet stands alone: remove node and control")
	}
	if cfg.GetFleet() == nil && cfg.GetTls() == nil && cfg.GetFleetTokenFile() == "" && !cfg.GetTrustedNetwork() {
		w.failAt("", "set fleetTokenFile or tls, so that only the fleet's processes are let in")
	}
	verifyNode(cfg.GetNode(), w)
	verifyControl(cfg.GetControl(), w)
	verifyFleet(cfg.GetFleet(), w)
}

func verifyNode(cfg *schema.NodeSettings, w *walker) {
	if cfg.GetUpstreamAddress() == "" {
		return
	}
	if cfg.GetFace() == schema.Face_FACE_UNSPECIFIED {
		w.failAt("node.upstreamAddress", "node.upstreamAddress needs a face whose upstreams answer health checks; remove it")
	}
	if cfg.GetService() == "" {
		w.failAt("node.upstreamAddress", "node.upstreamAddress needs node.service as well")
	}
}

func verifyControl(cfg *schema.ControlSettings, w *walker) {
	if cfg == nil {
		return
	}
	if cfg.GetOperatorTokenFile() == "" && cfg.GetFace() == schema.Face_FACE_UNSPECIFIED {
		w.failAt("control", "control lacks operatorTokenFile")
	}
	if len(cfg.GetPeers()) > 0 && len(cfg.GetSeeds()) > 0 {
		w.failAt("control.seeds", "control.seeds stands in place of control.peers: remove one")
	}
	if len(cfg.GetSeeds()) > 0 {
		return
	}
	isSelf := func(p *schema.PeerSettings) bool { return p.GetName() == cfg.GetName() }
	if !cfg.GetJoin() && !slices.ContainsFunc(cfg.GetPeers(), isSelf) {
		w.failAt("control", "control.peers lacks %q itself; a host that joins later sets join", cfg.GetName())
	}
	if len(cfg.GetPeers()) > maxControlHosts {
		w.failAt("control.peers", "control.peers: at most %d control hosts", maxControlHosts)
	}
}

func verifyFleet(cfg *schema.FleetSettings, w *walker) {
	if cfg == nil {
		return
	}
	if n := cfg.GetControlHosts(); n > maxControlHosts || (n > 0 && n%2 == 0) {
		w.failAt("fleet.controlHosts", "fleet.controlHosts: want an odd number of at most %d", maxControlHosts)
	}
	names := map[string]bool{}
	for _, s := range cfg.GetServices() {
		names[s.GetName()] = true
	}
	for i, s := range cfg.GetServices() {
		for j, c := range s.GetCalls() {
			if !names[c] {
				w.failAt(fmt.Sprintf("fleet.services[%d].calls[%d]", i, j), "no service %q in the fleet", c)
			}
		}
	}
	for i, a := range cfg.GetAccounts() {
		if err := resolver.CheckPolicy(resolver.AccountPath(a.GetId()), a.GetPolicy()); err != nil {
			w.failAt(fmt.Sprintf("fleet.accounts[%d]", i), "%s", err)
		}
	}
	for i, b := range cfg.GetBranches() {
		if err := resolver.CheckPolicy(b.GetPath(), b.GetPolicy()); err != nil {
			w.failAt(fmt.Sprintf("fleet.branches[%d]", i), "%s", err)
		}
	}
}
