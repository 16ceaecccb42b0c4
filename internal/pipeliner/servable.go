package pipeliner

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// isServable reports whether the server passes a request to its handler and may keep the connection after the response. The server
// answers other requests itself and closes the connection, which would cut those behind them.
func isServable(request []byte) bool {
	r, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(request), len(request)))
	if err != nil || r.Close || !r.ProtoAtLeast(1, 1) || !strings.HasPrefix(r.RequestURI, "/") || !httpguts.ValidHostHeader(r.Host) {
		return false
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return false
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return false
			}
		}
	}
	return true
}
