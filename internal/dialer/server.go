package dialer

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/lavenderhub/lavenderhub/internal/pipeliner"
)

// panicStatus is the exit status of the process after a panic in a handler.
const panicStatus = 70

// ClientKind is the kind of clients that a server accepts.
type ClientKind int

// Kinds of clients.
const (
	// Callers use HTTP/1.1 or HTTP/2. The server does not terminate TLS for them.
	Callers ClientKind = iota
	// Peers are nodes of the fleet. They use HTTP/2 alone, and with TLS they must present a certificate.
	Peers
	// Operators use HTTP/1.1 or HTTP/2, as do the processes of the fleet that use the same port. With TLS only the server presents a
	// certificate.
	Operators
)

// Server is a listening HTTP server.
type Server struct {
	http     *http.Server
	listener net.Listener
	// pipelines is nil unless the server reads the requests of HTTP/1.1 itself.
	pipelines *pipeliner.Listener
}

// ListenTCP listens on a TCP address. With port zero the system chooses a port.
func ListenTCP(addr netip.AddrPort) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr.String())
	return ln, errors.Wrapf(err, "listen on %s", addr)
}

// ListenAndServe listens on an address and serves a handler on it in a goroutine of the tomb.
func (s *Security) ListenAndServe(
	t *tomb.Tomb, addr netip.AddrPort, clients ClientKind, h http.Handler, opts ...pipeliner.Option,
) (*Server, error) {
	ln, err := ListenTCP(addr)
	if err != nil {
		return nil, err
	}
	return s.Serve(t, ln, clients, h, opts...), nil
}

// Serve serves a handler on an open listener in a goroutine of the tomb. The options hold for connections that are not encrypted.
func (s *Security) Serve(t *tomb.Tomb, ln net.Listener, clients ClientKind, h http.Handler, opts ...pipeliner.Option) *Server {
	var protocols http.Protocols
	protocols.SetHTTP1(clients != Peers)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	srv := &http.Server{
		Handler:           stopOnPanic(h),
		Protocols:         &protocols,
		HTTP2:             http2Config(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
		ErrorLog:          s.errorLog(),
	}
	listener := ln
	var pipelines *pipeliner.Listener
	if clients == Callers || (clients == Operators && s.cfg == nil) {
		pipelines = pipeliner.Listen(t, ln, s.timer, opts...)
		listener, srv.ConnState, srv.ConnContext = pipelines, pipelines.ConnState, pipelines.ConnContext
	}
	if s.cfg != nil && clients != Callers {
		listener = tls.NewListener(ln, s.serverConfig(clients == Peers))
	}
	t.Go(func() error {
		if err := srv.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrapf(err, "serve on %s", ln.Addr())
		}
		return nil
	})
	return &Server{http: srv, listener: ln, pipelines: pipelines}
}

// stopOnPanic ends the process when a handler panics. net/http would recover and continue, with any locks of the handler
// still held.
func stopOnPanic(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if cause == http.ErrAbortHandler {
				panic(cause)
			}
			fmt.Fprintf(os.Stderr, "panic in a handler: %v\n%s", cause, debug.Stack())
			os.Exit(panicStatus)
		}()
		h.ServeHTTP(w, r)
	})
}

// errorLog returns a logger that writes the errors of net/http to the log as warnings.
func (s *Security) errorLog() *log.Logger {
	std, err := zap.NewStdLogAt(s.log.Named("http"), zap.WarnLevel)
	if err != nil {
		return log.New(io.Discard, "", 0)
	}
	return std
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() netip.AddrPort {
	addr, _ := netip.ParseAddrPort(s.listener.Addr().String())
	return addr
}

// StopPipelining ends the reading of requests ahead of those in progress on their connection.
func (s *Server) StopPipelining() {
	if s.pipelines != nil {
		s.pipelines.StopBranches()
	}
}

// ClosedConnections returns the number of callers' connections that were closed because there were too many.
func (s *Server) ClosedConnections() int64 {
	if s.pipelines == nil {
		return 0
	}
	return s.pipelines.ClosedConnections()
}

// CutRequests returns the number of callers' requests whose connection closed after the response to a request before them.
func (s *Server) CutRequests() int64 {
	if s.pipelines == nil {
		return 0
	}
	return s.pipelines.CutRequests()
}

// Shutdown stops listening, waits for requests in progress and closes connections. It returns the context's error if the
// context ends first.
func (s *Server) Shutdown(ctx context.Context) error {
	if s.pipelines != nil {
		// If the context ends first, so does the shutdown, and its caller closes the connections.
		_ = s.pipelines.AwaitPipelines(ctx)
	}
	if err := s.http.Shutdown(ctx); err != nil {
		return err
	}
	if s.pipelines != nil {
		// All responses are written. If the context ends first, a slow caller may lose a part of its last one.
		_ = s.pipelines.AwaitClosed(ctx)
	}
	return nil
}

// Close stops listening and closes all connections, also those with requests in progress.
func (s *Server) Close() error {
	if s.pipelines != nil {
		s.pipelines.Abort()
	}
	return s.http.Close()
}
