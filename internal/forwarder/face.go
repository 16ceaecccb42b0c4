package forwarder

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/lavenderhub/lavenderhub/internal/authenticator"
	"github.com/lavenderhub/lavenderhub/internal/refuser"
)

// ServeCaller is the product's own face: it serves callers' requests and the nested calls of this node's own upstream.
func (f *Forwarder) ServeCaller(w http.ResponseWriter, r *http.Request) {
	defer f.Begin()()
	if f.IsStopping() && r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
	req, ref := f.decode(r)
	if ref != nil {
		f.refuse(w, ref)
		return
	}
	reply := f.Serve(r.Context(), req)
	if reply.Refusal != nil {
		reply.Refusal.Write(w)
		return
	}
	f.write(w, r, reply.answer)
}

// decode reads the product's own form of a request.
func (f *Forwarder) decode(r *http.Request) (*Request, *refuser.Refusal) {
	service, target := splitTarget(r)
	req := &Request{
		Service: service, Method: r.Method, Target: target, Header: ForwardableHeaders(r.Header), IdempotencyKey: r.Header.Get(headerClaim),
		Handle: r.Header.Get(headerRequest),
	}
	if req.Handle == "" {
		req.Key, req.HasKey = authenticator.BearerToken(r.Header)
	}
	var err error
	if req.Timeout, err = timeoutOf(r.Header); err != nil {
		return nil, badRequest(err.Error())
	}
	if req.Priority, err = priorityOf(r.Header); err != nil {
		return nil, badRequest(err.Error())
	}
	req.Body = func() ([]byte, *refuser.Refusal) { return f.readKeyless(r, req) }
	return req, nil
}

// readKeyless reads the body of a request whose key stands in its header only.
func (f *Forwarder) readKeyless(r *http.Request, req *Request) ([]byte, *refuser.Refusal) {
	if holdsKey(req.Target, req.Key) {
		return nil, badRequest("the key belongs in the Authorization header only, not in the URL")
	}
	body, ref := f.ReadBody(r.Body)
	if ref == nil && holdsKey(string(body), req.Key) {
		return nil, badRequest("the key belongs in the Authorization header only, not in the body")
	}
	return body, ref
}

// splitTarget returns the service named by the first segment of the path, and the rest with its query.
func splitTarget(r *http.Request) (service, target string) {
	path, query, hasQuery := strings.Cut(strings.TrimPrefix(RequestTarget(r), "/"), "?")
	service, rest, _ := strings.Cut(path, "/")
	if hasQuery {
		return service, "/" + rest + "?" + query
	}
	return service, "/" + rest
}

// RequestTarget returns a request's path and query to the letter as they were sent.
func RequestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// urlOf returns a URL that is sent with a target to the letter.
func urlOf(scheme, host, target string) *url.URL {
	u := &url.URL{Scheme: scheme, Host: host, Opaque: target}
	if strings.HasPrefix(target, "//") {
		// An opaque URL with two slashes would be taken for one with a host.
		u.Opaque = ""
		u.Path, u.RawQuery, _ = strings.Cut(target, "?")
	}
	return u
}
