package forwarder

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/lavenderhub/lavenderhub/internal/authenticator"
	"github.com/lavenderhub/lavenderhub/internal/pipeliner"
	"github.com/lavenderhub/lavenderhub/internal/refuser"
)

// ServeCaller serves requests in the native protocol: those of callers and the nested calls of the local upstream.
func (f *Forwarder) ServeCaller(w http.ResponseWriter, r *http.Request) {
	defer f.Begin()()
	if f.IsStopping() && r.ProtoMajor == 1 && pipeliner.EndConnection(r.Context()) {
		w.Header().Set("Connection", "close")
	}
	req, ref := f.decode(w, r)
	if ref != nil {
		f.refuse(w, ref)
		return
	}
	result := f.Serve(r.Context(), req)
	if r.ProtoMajor == 1 && pipeliner.IsCrowded(r.Context()) && pipeliner.EndConnection(r.Context()) {
		w.Header().Set("Connection", "close")
	}
	if result.Refusal != nil {
		result.Refusal.Write(w)
		return
	}
	f.sendResponse(w, r, result.response)
}

// decode reads a request in the native protocol.
func (f *Forwarder) decode(w http.ResponseWriter, r *http.Request) (*Request, *refuser.Refusal) {
	service, target := splitTarget(r)
	req := &Request{
		Service: service, Method: r.Method, Target: target, Header: ForwardableHeaders(r.Header),
		IdempotencyKey: r.Header.Get(headerIdempotencyKey), Handle: r.Header.Get(headerRequest),
	}
	if req.Handle == "" {
		req.Key, req.HasKey = authenticator.BearerToken(r.Header)
	}
	var err error
	if req.Timeout, err = parseTimeout(r.Header); err != nil {
		return nil, badRequest(err.Error())
	}
	if req.Priority, err = parsePriority(r.Header); err != nil {
		return nil, badRequest(err.Error())
	}
	req.Body = func() (*Body, *refuser.Refusal) { return f.readBodyWithoutKey(w, r, req) }
	return req, nil
}

// readBodyWithoutKey reads the body. It refuses a request that contains the caller's key in its target or its body.
func (f *Forwarder) readBodyWithoutKey(w http.ResponseWriter, r *http.Request, req *Request) (*Body, *refuser.Refusal) {
	if containsKey(req.Target, req.Key) {
		return nil, badRequest("the key belongs in the Authorization header only, not in the URL")
	}
	body, ref := f.ReadBody(w, r)
	if ref == nil && body.containsKey(req.Key) {
		return nil, badRequest("the key belongs in the Authorization header only, not in the body")
	}
	return body, ref
}

// splitTarget splits a request target into the service, which is the first path segment, and the rest with its query.
func splitTarget(r *http.Request) (service, target string) {
	path, query, hasQuery := strings.Cut(strings.TrimPrefix(RequestTarget(r), "/"), "?")
	service, rest, _ := strings.Cut(path, "/")
	if hasQuery {
		return service, "/" + rest + "?" + query
	}
	return service, "/" + rest
}

// RequestTarget returns a request's path and query exactly as they were sent.
func RequestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// requestURL returns a URL with which net/http and package exchanger send the target unchanged.
func requestURL(scheme, host, target string) *url.URL {
	return &url.URL{Scheme: scheme, Host: host, Opaque: target}
}
