package announcer

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/lavenderhub/lavenderhub/internal/refuser"
)

// maxBody bounds the size of an announcement in bytes.
const maxBody = 4096

// ServeHTTP handles announcements and departure notices from this host.
func (a *Announcer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !isFromThisHost(r) {
		refuser.New(refuser.NotRun, refuser.Unauthorized, "only this host's upstreams announce themselves here").Write(w)
		return
	}
	var err error
	switch r.Method {
	case http.MethodPost:
		err = a.handleAnnouncement(r.Body)
	case http.MethodDelete:
		err = a.handleDeparture(r)
	default:
		w.Header().Set("Allow", "POST, DELETE")
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	if err != nil {
		refuser.New(refuser.NotRun, refuser.BadRequest, err.Error()).Write(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func isFromThisHost(r *http.Request) bool {
	remote, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return false
	}
	local, ok := r.Context().Value(http.LocalAddrContextKey).(interface{ String() string })
	if remote.Addr().Unmap().IsLoopback() {
		return true
	}
	if !ok {
		return false
	}
	own, err := netip.ParseAddrPort(local.String())
	return err == nil && own.Addr().Unmap() == remote.Addr().Unmap()
}

func (a *Announcer) handleAnnouncement(body io.Reader) error {
	dec := json.NewDecoder(io.LimitReader(body, maxBody))
	dec.DisallowUnknownFields()
	var msg Announcement
	if err := dec.Decode(&msg); err != nil {
		return errors.Wrap(err, "read announcement")
	}
	return a.Announce(msg)
}

// handleDeparture serves DELETE. It takes the service and the address from the query, or both from the JSON body if the
// query has no service.
func (a *Announcer) handleDeparture(r *http.Request) error {
	msg := Announcement{Service: r.URL.Query().Get("service"), Address: r.URL.Query().Get("address")}
	if msg.Service == "" {
		if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&msg); err != nil {
			return errors.New("name the service in the query or in a JSON body")
		}
	}
	var addr netip.AddrPort
	if msg.Address != "" {
		var err error
		if addr, err = netip.ParseAddrPort(msg.Address); err != nil {
			return errors.Errorf("bad address %q, want an IP address and a port", msg.Address)
		}
	}
	a.Remove(msg.Service, addr)
	return nil
}
