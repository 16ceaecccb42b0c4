// Package responder is a stand-in upstream: it takes a set time for each request, calls other services, and answers
// with a body that can be verified.
package responder

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Names of the headers that verify an answer.
const (
	// HeaderChecksum is the xxHash of the body.
	HeaderChecksum = "X-Checksum"
	// HeaderLength is the length of the body in bytes.
	HeaderLength = "X-Length"
)

// Payload returns the body for a request: it depends on the id, so that a mixed-up answer is found out.
func Payload(service, id string, size int) []byte {
	out := make([]byte, 0, size+32)
	seed := service + "/" + id + "\n"
	for len(out) < size {
		out = append(out, seed...)
		out = strconv.AppendUint(out, xxhash.Sum64(out), 36)
	}
	return out[:size]
}

// Checksum returns the checksum of a body.
func Checksum(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}
