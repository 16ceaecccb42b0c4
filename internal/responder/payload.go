// Package responder implements a simulated upstream. It takes a configured time for each request, calls other services,
// and responds with a body that can be verified.
package responder

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Names of the headers for the verification of a response.
const (
	// HeaderChecksum carries the xxHash of the body, in hexadecimal.
	HeaderChecksum = "X-Checksum"
	// HeaderLength carries the length of the body in bytes.
	HeaderLength = "X-Length"
)

// Payload returns a response body of size bytes. It depends on the service and the request's ID, so that a response to
// another request is detected.
func Payload(service, id string, size int) []byte {
	out := make([]byte, 0, size+32)
	seed := service + "/" + id + "\n"
	for len(out) < size {
		out = append(out, seed...)
		out = strconv.AppendUint(out, xxhash.Sum64(out), 36)
	}
	return out[:size]
}

// Checksum returns the xxHash of a body in hexadecimal, as in HeaderChecksum.
func Checksum(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}
