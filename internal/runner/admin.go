package runner

import (
	"net/http"
	"net/netip"
	"sync/atomic"

	"github.com/uptrace/bunrouter"
	"google.golang.org/protobuf/encoding/protojson"
	"gopkg.in/tomb.v2"

	"github.com/lavenderhub/lavenderhub/internal/dialer"
	"github.com/lavenderhub/lavenderhub/internal/exporter"
	"github.com/lavenderhub/lavenderhub/internal/pipeliner"
	"github.com/lavenderhub/lavenderhub/internal/reporter"
	"github.com/lavenderhub/lavenderhub/schema"
)

// Admin is the HTTP server for the health, readiness, metrics and burn counts of a process.
type Admin struct {
	Base
	tomb   tomb.Tomb
	server *dialer.Server
	node   atomic.Pointer[Node]
}

// StartAdmin starts the server on the given address.
func StartAdmin(b Base, addr netip.AddrPort) (*Admin, error) {
	a := &Admin{Base: b}
	var err error
	a.server, err = b.Security.ListenAndServe(&a.tomb, addr, dialer.Operators, a.handler(),
		pipeliner.WithLimits(b.Budget, auxiliaryConnections))
	return a, err
}

// SetNode sets the node whose readiness and burn counts are served. Without a node, the process is always ready.
func (a *Admin) SetNode(n *Node) {
	a.node.Store(n)
}

// Addr returns the address that the server listens on.
func (a *Admin) Addr() netip.AddrPort {
	return a.server.Addr()
}

// Close closes the server and its connections.
func (a *Admin) Close() error {
	err := a.server.Close()
	a.tomb.Kill(nil)
	if tombErr := a.tomb.Wait(); err == nil {
		err = tombErr
	}
	return err
}

func (a *Admin) handler() http.Handler {
	r := bunrouter.New()
	r.GET("/lavenderhub/v1/healthz", func(w http.ResponseWriter, _ bunrouter.Request) error {
		_, err := w.Write([]byte("ok\n"))
		return err
	})
	r.GET("/lavenderhub/v1/readyz", a.serveReady)
	r.GET("/lavenderhub/v1/metrics", func(w http.ResponseWriter, _ bunrouter.Request) error {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		return exporter.Write(w, a.Registry, a.Assert)
	})
	r.GET(reporter.Path, a.serveBurn)
	return dialer.RejectUnroutable(r)
}

func (a *Admin) serveReady(w http.ResponseWriter, _ bunrouter.Request) error {
	if n := a.node.Load(); n != nil && !n.IsReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, err := w.Write([]byte("no fresh certificate from a control host\n"))
		return err
	}
	_, err := w.Write([]byte("ok\n"))
	return err
}

func (a *Admin) serveBurn(w http.ResponseWriter, _ bunrouter.Request) error {
	report := &schema.BurnReport{}
	if n := a.node.Load(); n != nil {
		report = n.Report()
	}
	data, err := protojson.Marshal(report)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	_, err = w.Write(data)
	return err
}
