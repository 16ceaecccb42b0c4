package dialer

import (
	"net/http"
	"strings"
)

// RejectUnroutable answers requests with status 404 if their path contains a NUL, on which bunrouter panics.
func RejectUnroutable(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.ContainsRune(r.URL.Path, 0) || strings.ContainsRune(r.URL.RawPath, 0) {
			http.NotFound(w, r)
			return
		}
		h.ServeHTTP(w, r)
	})
}
