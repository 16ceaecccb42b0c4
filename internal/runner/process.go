package runner

import (
	"net/netip"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/lavenderhub/lavenderhub/internal/asserter"
	"github.com/lavenderhub/lavenderhub/internal/dialer"
	"github.com/lavenderhub/lavenderhub/internal/timer"
	"github.com/lavenderhub/lavenderhub/schema"
)

// Process is a running process. Its settings determine its roles: node, control host, or both.
type Process struct {
	Base
	admin   *Admin
	node    *Node
	control *Control
}

// Start starts a process with the roles in the settings.
func Start(cfg *schema.Settings, log *zap.Logger) (*Process, error) {
	t := timer.New()
	clock := timer.New(timer.WithNow(timer.SuspendAware()))
	security, err := dialer.NewSecurity(cfg.GetTls(), t, log)
	if err != nil {
		return nil, err
	}
	token, err := readToken(cfg.GetFleetTokenFile())
	if err != nil {
		return nil, err
	}
	p := &Process{Base: Base{
		Timer: t, Clock: clock, Log: log, Assert: asserter.New(log), Registry: metrics.NewRegistry(), Security: security,
		FleetToken: token, Terms: cfg.GetTerms(),
	}}
	p.Budget = newCallerBudget(t, cfg.GetNode().GetCallerMemoryBytes(), p.Registry)
	if err := p.start(cfg); err != nil {
		_ = p.Stop()
		return nil, err
	}
	return p, nil
}

func (p *Process) start(cfg *schema.Settings) error {
	if cfg.GetControl() != nil {
		token, err := readToken(cfg.GetControl().GetOperatorTokenFile())
		if err != nil {
			return err
		}
		if p.control, err = StartControl(p.Base, cfg.GetControl(), token); err != nil {
			return err
		}
	}
	var admin netip.AddrPort
	if cfg.GetAdminAddress() != "" {
		addr, err := netip.ParseAddrPort(cfg.GetAdminAddress())
		if err != nil {
			return errors.Wrap(err, "admin address")
		}
		if p.admin, err = StartAdmin(p.Base, addr); err != nil {
			return err
		}
		admin = p.admin.Addr()
	}
	if cfg.GetNode() == nil {
		return nil
	}
	var err error
	p.node, err = StartNode(p.Base, cfg.GetNode(), admin, Baseline{})
	if err == nil && p.admin != nil {
		p.admin.SetNode(p.node)
	}
	return err
}

// Reload applies the settings that can change while the process runs: the addresses of the control hosts.
func (p *Process) Reload(cfg *schema.Settings) error {
	if p.node != nil && cfg.GetNode() != nil {
		addresses, err := parseAddresses(cfg.GetNode().GetControlAddresses())
		if err != nil {
			return err
		}
		p.node.syncer.SetControlAddresses(addresses)
	}
	if p.control != nil && cfg.GetControl() != nil {
		seeds, err := parseAddresses(cfg.GetControl().GetSeeds())
		if err != nil {
			return err
		}
		p.control.controller.SetSeeds(seeds)
	}
	return nil
}

func parseAddresses(texts []string) ([]netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for _, text := range texts {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, errors.Wrapf(err, "control address %q", text)
		}
		addresses = append(addresses, addr)
	}
	return addresses, nil
}

// readToken returns the token in a file, or an empty token if no file is given.
func readToken(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", errors.Wrap(err, "read token file")
	}
	token := strings.TrimSpace(string(data))
	if token == "" {
		return "", errors.Errorf("token file %s is empty", file)
	}
	return token, nil
}

// Failed returns a channel that is closed when the control replica has ended. It is nil in a process without one.
func (p *Process) Failed() <-chan struct{} {
	if p.control == nil {
		return nil
	}
	return p.control.Dead()
}

// Stop stops the node before the control host, because the node needs a control host to return its unused tokens.
func (p *Process) Stop() error {
	var firstErr error
	record := func(err error) {
		if firstErr == nil {
			firstErr = err
		}
	}
	if p.node != nil {
		record(p.node.Stop())
	}
	if p.control != nil {
		record(p.control.Stop())
	}
	if p.admin != nil {
		record(p.admin.Close())
	}
	return firstErr
}
