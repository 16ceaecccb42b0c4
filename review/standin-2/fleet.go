package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The ports of a machine, as offsets. They are the same on all machines.
const (
	controlPort = iota
	outboundPort
	inboundPort
	readyPort
	appPort
	portCount = 30
)

// The contracts of the small and of the grown deployments.
var (
	smallContracts = []string{"base", "drain", "config", "cost", "retry", "recover", "pressure", "tenants", "quota"}
	grownContracts = []string{"base", "drain", "config", "cost", "retry", "recover", "health", "pool", "pressure", "tenants", "quota"}
)

// process is a started process of the system.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
	// asked is set once the script has sent a signal that ends the process.
	asked bool
	mu    sync.Mutex
}

// fleet is a small deployment on loopback addresses: four control hosts and the given nodes.
type fleet struct {
	root, dir string
	network   int
	port      int
	// contracts names the parts of the rules that are in force.
	contracts []string
	control   []*machine
	nodes     []*machine
	record    *record

	mu sync.Mutex
	// ends counts the processes of each machine that ended by themselves.
	ends    map[string]int
	closing bool
	wait    sync.WaitGroup
}

func (f *fleet) addr(m *machine, port int) string { return fmt.Sprintf("%s:%d", m.ip, f.port+port) }

func (f *fleet) seeds() []string {
	var out []string
	for _, m := range f.control[:3] {
		out = append(out, f.addr(m, controlPort))
	}
	return out
}

// newFleet lays out a deployment. services names the service of the worker beside each node.
func newFleet(root string, rec *record, services []string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, dir: dir, record: rec, network: 1 + rand.IntN(250), ends: map[string]int{}, contracts: smallContracts}
	ip := func(n int) string { return fmt.Sprintf("127.%d.0.%d", f.network, n) }
	for i := range 4 {
		name := fmt.Sprintf("core-%d", i+1)
		f.control = append(f.control, &machine{
			name: name, role: "control", zone: fmt.Sprintf("zone-%c", 'a'+i), ip: ip(10 + i), dataDir: filepath.Join(dir, "data-"+name),
		})
	}
	for i, service := range services {
		f.nodes = append(f.nodes, &machine{
			name: fmt.Sprintf("side-%d", i+1), role: "node", zone: fmt.Sprintf("zone-%c", 'a'+i%4), ip: ip(30 + i), service: service,
		})
	}
	return f, f.findPorts()
}

// findPorts chooses ports that are free on all machines.
func (f *fleet) findPorts() error {
	for range 50 {
		f.port = 21000 + portCount*rand.IntN(300)
		if f.arePortsFree() {
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

func (f *fleet) arePortsFree() bool {
	for _, m := range append(append([]*machine{}, f.control...), f.nodes...) {
		for p := range portCount {
			ln, err := net.Listen("tcp", f.addr(m, p))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

// start starts the process of a machine with the run command of the deploy file, and again whenever it ends by itself.
func (f *fleet) start(m *machine) error {
	file, err := f.writeSettings(m)
	if err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(f.root, "target", "lavenderhub"), "serve", "--config", file)
	cmd.Dir, cmd.Stdout, cmd.Stderr = f.root, out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{cmd: cmd, ended: make(chan struct{})}
	m.proc, m.started = p, true
	f.wait.Add(1)
	go func() {
		defer f.wait.Done()
		err := cmd.Wait()
		_ = out.Close()
		close(p.ended)
		p.mu.Lock()
		asked := p.asked
		p.mu.Unlock()
		f.mu.Lock()
		closing := f.closing
		if !asked && !closing {
			f.ends[m.name]++
		}
		f.mu.Unlock()
		if asked || closing {
			return
		}
		f.record.line("process of %s ended by itself: %v", m.name, err)
		time.Sleep(500 * time.Millisecond)
		f.mu.Lock()
		closing = f.closing
		f.mu.Unlock()
		if !closing {
			if err := f.start(m); err != nil {
				f.record.line("restart of %s: %v", m.name, err)
			}
		}
	}()
	return nil
}

func (f *fleet) startAll() error {
	for _, m := range append(append([]*machine{}, f.control...), f.nodes...) {
		if err := f.start(m); err != nil {
			return err
		}
	}
	return nil
}

// end sends a signal that ends the process of a machine and waits until it has ended.
func (f *fleet) end(m *machine, sig syscall.Signal) {
	m.proc.mu.Lock()
	m.proc.asked = true
	m.proc.mu.Unlock()
	f.record.line("signal %v to the process of %s", sig, m.name)
	_ = m.proc.cmd.Process.Signal(sig)
	<-m.proc.ended
}

// signal sends a signal that does not end the process.
func (f *fleet) signal(m *machine, sig syscall.Signal) {
	f.record.line("signal %v to the process of %s", sig, m.name)
	_ = m.proc.cmd.Process.Signal(sig)
}

// close ends all processes and removes the files.
func (f *fleet) close() {
	f.mu.Lock()
	f.closing = true
	f.mu.Unlock()
	for _, m := range append(append([]*machine{}, f.control...), f.nodes...) {
		if m.proc != nil {
			_ = m.proc.cmd.Process.Kill()
		}
	}
	f.wait.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
}
