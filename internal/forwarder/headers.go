package forwarder

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Names of request and response headers.
const (
	headerPrefix            = "Lavenderhub-"
	headerTimeout           = "Lavenderhub-Timeout"
	headerPriority          = "Lavenderhub-Priority"
	headerRequest           = "Lavenderhub-Request"
	headerDeadline          = "Lavenderhub-Deadline"
	headerAccount           = "Lavenderhub-Account"
	headerHop               = "Lavenderhub-Hop"
	headerLevel             = "Lavenderhub-Level"
	headerLoad              = "Lavenderhub-Load"
	headerExpectedTime      = "Lavenderhub-Time"
	headerSpent             = "Lavenderhub-Spent"
	headerFinal             = "Lavenderhub-Final"
	headerRetryShare        = "Lavenderhub-Repeats"
	headerSuspended         = "Lavenderhub-Suspended-Ms"
	headerCongestion        = "Lavenderhub-Congestion"
	headerCold              = "Lavenderhub-Cold"
	headerIdempotencyKey    = "Idempotency-Key"
	headerIdempotencyWindow = "Lavenderhub-Idempotency-Window"
)

// maxHeaders is the maximum number of header values in a request.
const maxHeaders = 128

// connectionHeaders are hop-by-hop headers, which are never forwarded (RFC 9110, section 7.6.1).
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// ForwardableHeaders returns the headers to forward with a request or a response: all but the hop-by-hop ones and Lavenderhub's own.
func ForwardableHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		if strings.HasPrefix(http.CanonicalHeaderKey(name), headerPrefix) {
			continue
		}
		out[name] = values
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		delete(out, name)
	}
	return out
}

// removeKey removes the caller's key from headers: every Authorization header, and any other whose name or value contains
// the key.
func removeKey(h http.Header, key string) http.Header {
	for name, values := range h {
		if strings.EqualFold(name, "Authorization") {
			delete(h, name)
			continue
		}
		if key == "" {
			continue
		}
		for _, v := range values {
			if strings.Contains(v, key) || strings.Contains(strings.ToLower(name), strings.ToLower(key)) {
				delete(h, name)
				break
			}
		}
	}
	return h
}

// containsKey reports whether s contains the key, either literally or percent-encoded up to two times.
func containsKey(s, key string) bool {
	if key == "" {
		return false
	}
	for range 3 {
		if strings.Contains(s, key) {
			return true
		}
		decoded, err := url.QueryUnescape(s)
		if err != nil || decoded == s {
			return false
		}
		s = decoded
	}
	return false
}

// parseTimeout returns the timeout that the caller sets, or zero if it sets none.
func parseTimeout(h http.Header) (time.Duration, error) {
	s := h.Get(headerTimeout)
	if s == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(s)
	if err != nil || d <= 0 {
		return 0, errors.Errorf("bad %s, want a duration such as 250ms", headerTimeout)
	}
	return d, nil
}

// parsePriority returns the priority that the caller requests, or nil.
func parsePriority(h http.Header) (*uint32, error) {
	s := h.Get(headerPriority)
	if s == "" {
		return nil, nil
	}
	n, err := strconv.ParseUint(s, 10, 32)
	if err != nil {
		return nil, errors.Errorf("bad %s, want a whole number", headerPriority)
	}
	priority := uint32(n)
	return &priority, nil
}

func countHeaders(h http.Header) int {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	return n
}
