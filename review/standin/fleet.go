package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Terms of the standard deployments of a small mesh.
const (
	contactS  = 3
	drainS    = 2
	catchUpS  = 4
	recoveryS = 15
	// restartPause is the time between the end of a process and its next start.
	restartPause = 500 * time.Millisecond
	// stopLimit bounds the wait for the end of a process that was killed.
	stopLimit = 5 * time.Second
)

// ports are the same on all machines, as DEPLOY.md says.
type ports struct {
	outbound, inbound, ready, control, app, admin int
}

// machine is one machine of the platform with the process on it.
type machine struct {
	name, ip, zone, service string
	fleet                   *fleet
	dataDir                 string
	firstStart              bool
	cmd                     *exec.Cmd
	ended                   chan struct{}
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	root, temp string
	block      string
	ports      ports
	seeds      []string
	controls   []*machine
	nodes      []*machine
	rec        *record
	// mu guards the processes of all machines, and closing is set once no further one may start.
	mu      sync.Mutex
	closing bool
}

// newFleet lays out control hosts, one in each zone, and one node for each service in the list.
func newFleet(root string, rec *record, controls int, services []string) (*fleet, error) {
	temp, err := os.MkdirTemp("", "standin")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	f := &fleet{root: root, temp: temp, rec: rec, block: fmt.Sprintf("127.%d.%d", 10+pid/250%200, 1+pid%250)}
	if f.ports, err = f.freePorts(); err != nil {
		return nil, err
	}
	for i := range controls {
		m := &machine{name: fmt.Sprintf("core-zone-%c-1", 'a'+i), ip: fmt.Sprintf("%s.%d", f.block, 10+i), zone: fmt.Sprintf("zone-%c", 'a'+i), fleet: f, firstStart: true}
		m.dataDir = filepath.Join(temp, m.name, "data")
		if err := os.MkdirAll(m.dataDir, 0o700); err != nil {
			return nil, err
		}
		f.controls = append(f.controls, m)
		if i < 3 {
			f.seeds = append(f.seeds, m.controlAddr())
		}
	}
	for i, s := range services {
		f.nodes = append(f.nodes, &machine{
			name: fmt.Sprintf("sidecar-zone-%c-%d", 'a'+i%4, 1+i/4), ip: fmt.Sprintf("%s.%d", f.block, 30+i), zone: fmt.Sprintf("zone-%c", 'a'+i%4),
			service: s, fleet: f, firstStart: true,
		})
	}
	return f, nil
}

// freePorts finds ports that are free on the fleet's addresses.
func (f *fleet) freePorts() (ports, error) {
	var found []int
	var held []net.Listener
	defer func() {
		for _, ln := range held {
			_ = ln.Close()
		}
	}()
	for range 6 {
		ln, err := net.Listen("tcp", f.block+".10:0")
		if err != nil {
			return ports{}, err
		}
		held = append(held, ln)
		found = append(found, ln.Addr().(*net.TCPAddr).Port)
	}
	return ports{found[0], found[1], found[2], found[3], found[4], found[5]}, nil
}

func (m *machine) addr(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }
func (m *machine) controlAddr() string  { return m.addr(m.fleet.ports.control) }
func (m *machine) outboundAddr() string { return m.addr(m.fleet.ports.outbound) }
func (m *machine) appAddr() string      { return m.addr(m.fleet.ports.app) }
func (m *machine) settingsFile() string { return filepath.Join(m.fleet.temp, m.name, "boot.toml") }
func (m *machine) isControl() bool      { return m.dataDir != "" }
func (m *machine) say(what string, a ...any) {
	m.fleet.rec.add("%s: %s", m.name, fmt.Sprintf(what, a...))
}
func (m *machine) memoryLimit() int { return map[bool]int{true: 280, false: 284}[m.isControl()] }
func (m *machine) logFile() string  { return filepath.Join(m.fleet.temp, m.name, "log.txt") }

// values are the fields of the settings, as DEPLOY.md names them.
func (m *machine) values() map[string]any {
	p := m.fleet.ports
	v := map[string]any{
		"nodeName": m.name, "ip": m.ip, "zone": m.zone, "region": "region", "firstStart": m.firstStart,
		"internalPorts": []int{p.admin - 1, p.admin}, "seeds": m.fleet.seeds, "heartbeatS": 1.5,
		"limits":         map[string]any{"memoryMb": m.memoryLimit()},
		"faultTolerance": map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"revokeS": 5, "configApplyS": 2, "graceS": 6, "drainS": drainS, "retryBudgetRatio": 0.2, "retryBudgetSlack": 49,
			"budgetWindowS": 10,
		},
	}
	listen := map[string]any{"controlPlane": m.controlAddr()}
	if m.isControl() {
		v["dataDir"] = m.dataDir
	} else {
		listen["inbound"], listen["outbound"], listen["ready"] = m.addr(p.inbound), m.outboundAddr(), m.addr(p.ready)
		v["appAddr"], v["service"] = m.appAddr(), m.service
	}
	v["listen"] = listen
	return v
}

// start starts the machine's process with the command of the deploy file, with the settings at a path of its own.
func (m *machine) start() error {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	if m.fleet.closing {
		return errClosing
	}
	template, err := os.ReadFile(filepath.Join(m.fleet.root, "deploy", "settings.jsonc.tmpl"))
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(m.settingsFile()), 0o700); err != nil {
		return err
	}
	if err := os.WriteFile(m.settingsFile(), []byte(render(string(template), m.values())), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(m.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	m.cmd = exec.Command(filepath.Join(m.fleet.root, "target", "lavenderhub"), "serve", "--config", m.settingsFile())
	m.cmd.Dir, m.cmd.Stdout, m.cmd.Stderr = m.fleet.root, log, log
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.say("started, firstStart %v", m.firstStart)
	m.ended = make(chan struct{})
	cmd, ended := m.cmd, m.ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	m.firstStart = false
	return nil
}

// kill ends the process with SIGKILL and waits for its end.
func (m *machine) kill() {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	if m.cmd == nil {
		return
	}
	_ = m.cmd.Process.Signal(syscall.SIGKILL)
	select {
	case <-m.ended:
	case <-time.After(stopLimit):
	}
	m.say("killed")
	m.cmd = nil
}

// pid returns the ID of the machine's process, or zero if there is none.
func (m *machine) pid() int {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	if m.cmd == nil {
		return 0
	}
	return m.cmd.Process.Pid
}

// wipe empties the disk of a machine whose process has ended.
func (m *machine) wipe() error {
	if err := os.RemoveAll(m.dataDir); err != nil {
		return err
	}
	m.say("lost its disk")
	return os.MkdirAll(m.dataDir, 0o700)
}

// startAll starts all processes within 0.3 s.
func (f *fleet) startAll() error {
	for _, m := range append(append([]*machine{}, f.controls...), f.nodes...) {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// stopAll ends all processes and removes the temporary folder, unless KEEP is set.
func (f *fleet) stopAll() {
	f.mu.Lock()
	f.closing = true
	f.mu.Unlock()
	for _, m := range append(append([]*machine{}, f.controls...), f.nodes...) {
		m.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.temp)
	}
}
