package parser

import (
	"fmt"
	"slices"

	"github.com/lavenderhub/lavenderhub/internal/resolver"
	"github.com/lavenderhub/lavenderhub/schema"
)

// maxControlHosts is the maximum number of control hosts in a fleet.
const maxControlHosts = 15

// checkConstraints checks the constraints that the schema can't express, such as those across fields.
func checkConstraints(cfg *schema.Settings, w *walker) {
	if cfg.GetNode() == nil && cfg.GetControl() == nil && cfg.GetFleet() == nil {
		w.addErrorAt("", "the settings need at least one of node, control and fleet")
	}
	if cfg.GetFleet() != nil && (cfg.GetNode() != nil || cfg.GetControl() != nil) {
		w.addErrorAt("fleet", "fleet can't be combined with node or control")
	}
	if cfg.GetFleet() == nil && cfg.GetTls() == nil && cfg.GetFleetTokenFile() == "" && !cfg.GetTrustedNetwork() {
		w.addErrorAt("", "set fleetTokenFile or tls, so that only processes of the fleet can connect")
	}
	checkNode(cfg.GetNode(), w)
	checkControl(cfg.GetControl(), w)
	checkFleet(cfg.GetFleet(), w)
}

func checkNode(cfg *schema.NodeSettings, w *walker) {
	if cfg.GetUpstreamAddress() == "" {
		return
	}
	if cfg.GetFace() == schema.Face_FACE_UNSPECIFIED {
		w.addErrorAt("node.upstreamAddress", "node.upstreamAddress needs a face whose upstreams respond to health checks; remove it")
	}
	if cfg.GetService() == "" {
		w.addErrorAt("node.upstreamAddress", "node.upstreamAddress requires node.service")
	}
}

func checkControl(cfg *schema.ControlSettings, w *walker) {
	if cfg == nil {
		return
	}
	if cfg.GetOperatorTokenFile() == "" && cfg.GetFace() == schema.Face_FACE_UNSPECIFIED {
		w.addErrorAt("control", "control requires operatorTokenFile")
	}
	if len(cfg.GetPeers()) > 0 && len(cfg.GetSeeds()) > 0 {
		w.addErrorAt("control.seeds", "control.seeds and control.peers are mutually exclusive; remove one")
	}
	if len(cfg.GetSeeds()) > 0 {
		return
	}
	isSelf := func(p *schema.PeerSettings) bool { return p.GetName() == cfg.GetName() }
	if !cfg.GetJoin() && !slices.ContainsFunc(cfg.GetPeers(), isSelf) {
		w.addErrorAt("control", "control.peers must list the host itself, %q, unless control.join is set", cfg.GetName())
	}
	if len(cfg.GetPeers()) > maxControlHosts {
		w.addErrorAt("control.peers", "control.peers: at most %d control hosts", maxControlHosts)
	}
}

func checkFleet(cfg *schema.FleetSettings, w *walker) {
	if cfg == nil {
		return
	}
	if n := cfg.GetControlHosts(); n > maxControlHosts || (n > 0 && n%2 == 0) {
		w.addErrorAt("fleet.controlHosts", "fleet.controlHosts: want an odd number of at most %d", maxControlHosts)
	}
	names := map[string]bool{}
	for _, s := range cfg.GetServices() {
		names[s.GetName()] = true
	}
	for i, s := range cfg.GetServices() {
		for j, c := range s.GetCalls() {
			if !names[c] {
				w.addErrorAt(fmt.Sprintf("fleet.services[%d].calls[%d]", i, j), "no service %q in the fleet", c)
			}
		}
	}
	for i, a := range cfg.GetAccounts() {
		if err := resolver.CheckPolicy(resolver.AccountPath(a.GetId()), a.GetPolicy()); err != nil {
			w.addErrorAt(fmt.Sprintf("fleet.accounts[%d]", i), "%s", err)
		}
	}
	for i, b := range cfg.GetBranches() {
		if err := resolver.CheckPolicy(b.GetPath(), b.GetPolicy()); err != nil {
			w.addErrorAt(fmt.Sprintf("fleet.branches[%d]", i), "%s", err)
		}
	}
}
