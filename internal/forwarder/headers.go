package forwarder

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Names of the program's own headers.
const (
	headerPrefix   = "Lavenderhub-"
	headerTimeout  = "Lavenderhub-Timeout"
	headerPriority = "Lavenderhub-Priority"
	headerRequest  = "Lavenderhub-Request"
	headerDeadline = "Lavenderhub-Deadline"
	headerAccount  = "Lavenderhub-Account"
	headerHop      = "Lavenderhub-Hop"
	headerLevel    = "Lavenderhub-Level"
	headerLoad     = "Lavenderhub-Load"
	headerSpent    = "Lavenderhub-Spent"
	headerFinal    = "Lavenderhub-Final"
	headerRepeats  = "Lavenderhub-Repeats"
	headerClaim    = "Idempotency-Key"
	headerWindow   = "Lavenderhub-Idempotency-Window"
)

// maxHeaders bounds the number of headers of a request.
const maxHeaders = 128

// connectionHeaders belong to one connection and are never passed on (RFC 9110, section 7.6.1).
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// ForwardableHeaders returns the headers that travel with a request or an answer.
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

// withoutKey removes the caller's key from headers: every Authorization, and any other header that holds the key.
func withoutKey(h http.Header, key string) http.Header {
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

// holdsKey reports whether a request's target holds the key, plainly or escaped.
func holdsKey(target, key string) bool {
	if key == "" {
		return false
	}
	for range 3 {
		if strings.Contains(target, key) {
			return true
		}
		plain, err := url.QueryUnescape(target)
		if err != nil || plain == target {
			return false
		}
		target = plain
	}
	return false
}

// timeoutOf returns the caller's own timeout, or zero when there is none.
func timeoutOf(h http.Header) (time.Duration, error) {
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

// priorityOf returns the priority that the caller asks for, or nil.
func priorityOf(h http.Header) (*uint32, error) {
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
