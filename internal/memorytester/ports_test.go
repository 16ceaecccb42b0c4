package memorytester

import (
	"net"
	"testing"
)

// TestPorts guards against callers that use up the memory or the descriptors of a process by a port that is not meant for them: those of
// the node beside the upstream, and those of a control host. The crowds are those of the tests of the callers' port.
func TestPorts(t *testing.T) {
	ports := []struct {
		name    string
		address func(f *fleet) string
		target  target
	}{
		{"callers beside upstream", func(f *fleet) string { return f.nodes[1].caller }, target{path: "/one/a"}},
		{"peers", func(f *fleet) string { return f.nodes[1].peer }, target{path: "/svc1/one/a"}},
		{"tokens", func(f *fleet) string { return f.nodes[1].peer }, protobuf("/twirp/lavenderhub.v1.Tokens/Take")},
		{"heartbeats", func(f *fleet) string { return f.nodes[1].announce }, target{path: "/instances/i-1/heartbeat"}},
		{"ready", func(f *fleet) string { return f.nodes[1].ready }, target{path: "/ready"}},
		{"admin", func(f *fleet) string { return f.nodes[1].admin }, target{path: "/lavenderhub/v1/metrics"}},
		{"configuration", func(f *fleet) string { return f.control.caller }, target{path: "/config/replace"}},
		{"exchanges", func(f *fleet) string { return f.control.caller }, protobuf("/twirp/lavenderhub.v1.Control/Sync")},
		{"replicas", func(f *fleet) string { return f.control.caller }, protobuf("/twirp/lavenderhub.v1.Replica/Step")},
		{"admin of control host", func(f *fleet) string { return f.control.admin }, target{path: "/lavenderhub/v1/metrics"}},
	}
	crowds := []struct {
		name string
		send func(p *callers, to target)
	}{
		{"headers", func(p *callers, _ target) { p.sendHeaders() }},
		{"empty lines", func(p *callers, to target) { p.sendEmptyLines(to) }},
		{"bodies", func(p *callers, to target) { p.sendBodies(to, bodyLimit) }},
		{"bodies in pieces", func(p *callers, to target) { p.sendBodies(to, 8<<10) }},
		{"large chunks", func(p *callers, to target) { p.sendChunks(to, 64<<10, bodyLimit-64<<10) }},
		{"small chunks", func(p *callers, to target) { p.sendChunks(to, 2, 1<<20) }},
	}
	for _, port := range ports {
		for _, c := range crowds {
			t.Run(port.name+"/"+c.name, func(t *testing.T) {
				f := startFleet(t, standardLimits())
				p := newCallersOf(f, port.address(f))
				c.send(p, port.target)
				p.wait()
				f.check()
			})
		}
	}
}

func (p *callers) sendBodies(to target, piece int) {
	p.start(crowd, func(c net.Conn, i int) error { return sendBody(c, to, i, bodyLimit, piece, i%6 != 0) })
}

func protobuf(path string) target {
	return target{path: path, contentType: "application/protobuf"}
}
