package announcer

import (
	"net"
	"net/http"
	"time"
)

const (
	// idleLong is how long an unused connection to an upstream is kept.
	idleLong = 30 * time.Second
	// idleShort is the same for requests that run at most once: an older connection may have gone silent.
	idleShort = 250 * time.Millisecond
	// dialTimeout bounds a new connection to an upstream.
	dialTimeout = 500 * time.Millisecond
	// maxIdle bounds the unused connections to one upstream.
	maxIdle = 256
	// maxHeaderBytes bounds the headers of an upstream's answer.
	maxHeaderBytes = 256 << 10
)

func newClient(idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:           maxIdle,
		MaxIdleConnsPerHost:    maxIdle,
		IdleConnTimeout:        idle,
		MaxResponseHeaderBytes: maxHeaderBytes,
		// Bodies are passed on as they are.
		DisableCompression: true,
	}
}
