package dialer

import "net/http"

// TokenHeader carries the fleet token between the system's own processes.
const TokenHeader = "Lavenderhub-Fleet"

// tokenTransport adds the fleet token to each request.
type tokenTransport struct {
	peer  *Peer
	token string
}

// WithToken returns a transport to a peer that shows the fleet token.
func WithToken(p *Peer, token string) http.RoundTripper {
	return &tokenTransport{peer: p, token: token}
}

// RoundTrip sends one request with the token.
func (t *tokenTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if t.token != "" {
		req = req.Clone(req.Context())
		req.Header.Set(TokenHeader, t.token)
	}
	return t.peer.RoundTrip(req)
}
