package dialer

import "net/http"

// TokenHeader is the header that carries the fleet token between processes of the fleet.
const TokenHeader = "Lavenderhub-Fleet"

// tokenTransport adds the fleet token to each request.
type tokenTransport struct {
	peer  *Peer
	token string
}

// WithToken returns a transport to a peer that adds the fleet token to each request and bounds the body of each reply. An empty
// token adds no header.
func WithToken(p *Peer, token string) http.RoundTripper {
	return &tokenTransport{peer: p, token: token}
}

// RoundTrip implements http.RoundTripper.
func (t *tokenTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if t.token != "" {
		req = req.Clone(req.Context())
		req.Header.Set(TokenHeader, t.token)
	}
	return t.peer.RoundTripBounded(req)
}
