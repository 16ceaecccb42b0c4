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
)

// panicStatus is the status of a process that a panic ended.
const panicStatus = 70

// ClientKind tells who connects to a server.
type ClientKind int

// Audiences.
const (
	// Callers use HTTP/1.1 or HTTP/2 without TLS of ours.
	Callers ClientKind = iota
	// Peers are processes of the fleet; with TLS they show a certificate.
	Peers
	// Operators use HTTP/1.1 or HTTP/2; with TLS the server shows its certificate.
	Operators
)

// Server is a listening HTTP server.
type Server struct {
	http     *http.Server
	listener net.Listener
}

// ListenTCP listens on an address. Port zero lets the system choose a port.
func ListenTCP(addr netip.AddrPort) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr.String())
	return ln, errors.Wrapf(err, "listen on %s", addr)
}

// ListenAndServe opens an address and serves a handler on it within the tomb.
func (s *Security) ListenAndServe(t *tomb.Tomb, addr netip.AddrPort, audience ClientKind, h http.Handler) (*Server, error) {
	ln, err := ListenTCP(addr)
	if err != nil {
		return nil, err
	}
	return s.Serve(t, ln, audience, h), nil
}

// Serve serves a handler on an open listener within the tomb.
func (s *Security) Serve(t *tomb.Tomb, ln net.Listener, audience ClientKind, h http.Handler) *Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
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
	serving := ln
	if s.cfg != nil && audience != Callers {
		serving = tls.NewListener(ln, s.serverConfig(audience == Peers))
	}
	t.Go(func() error {
		if err := srv.Serve(serving); err != nil && !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrapf(err, "serve on %s", ln.Addr())
		}
		return nil
	})
	return &Server{http: srv, listener: ln}
}

// stopOnPanic ends the process when a handler panics. net/http would go on with whatever the handler left locked.
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

// errorLog passes what net/http has to say on as events.
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

// Shutdown stops listening, lets requests in progress end and closes connections. It returns the context's error
// when that ends first.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.Shutdown(ctx)
}

// Close cuts all connections.
func (s *Server) Close() error {
	return s.http.Close()
}
