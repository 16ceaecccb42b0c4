package pipeliner

import (
	"bytes"
	"strconv"
)

// maxLinePrefix is the number of bytes of a header line that are examined.
const maxLinePrefix = 128

// maxLineEnd is the number of bytes of the end of a line that are kept: those of the version and the end of the line.
const maxLineEnd = len(" HTTP/1.1\r")

// bodyKind tells how the end of a request's body is found.
type bodyKind int

const (
	// noBody means that the request ends with its head.
	noBody bodyKind = iota
	// sizedBody means that the body has a known length.
	sizedBody
	// openBody means that the end of the body, or the protocol after the head, is left to the server.
	openBody
)

// head scans the head of a request as its bytes arrive.
type head struct {
	line     []byte
	lineSize int
	// lineEnd holds the last bytes of a line, which may be longer than what line holds of it.
	lineEnd []byte
	lines   int
	// isRead is set for GET and HEAD, which may be served ahead of their turn.
	isRead bool
	body   bodyKind
	length int64
	hosts  int
	// size is the number of bytes scanned.
	size int
	// isHTTP2 is set for the preface of HTTP/2.
	isHTTP2 bool
}

// scan reads bytes up to the end of the head. It returns how many it read, and whether the head is complete.
func (h *head) scan(p []byte) (n int, done bool) {
	defer func() { h.size += n }()
	for n < len(p) {
		i := bytes.IndexByte(p[n:], '\n')
		part := p[n:]
		if i >= 0 {
			part = part[:i]
		}
		h.line = append(h.line, part[:min(len(part), maxLinePrefix-len(h.line))]...)
		h.lineSize += len(part)
		h.lineEnd = append(h.lineEnd, part[max(0, len(part)-maxLineEnd):]...)
		h.lineEnd = h.lineEnd[max(0, len(h.lineEnd)-maxLineEnd):]
		if i < 0 {
			return len(p), false
		}
		n += i + 1
		if h.endLine() {
			return n, true
		}
	}
	return n, false
}

// endLine examines a line and reports whether it ends the head.
func (h *head) endLine() bool {
	line := bytes.TrimSuffix(h.line, []byte{'\r'})
	empty := len(line) == 0 && h.lineSize <= 1
	h.lines++
	switch {
	case h.lines == 1:
		h.startLine(line)
	case !empty:
		h.field(line, h.lineSize > len(h.line))
	}
	h.line, h.lineEnd, h.lineSize = h.line[:0], h.lineEnd[:0], 0
	return empty
}

var (
	get     = []byte("GET ")
	headOf  = []byte("HEAD ")
	version = []byte(" HTTP/1.1")
)

// startLine examines the first line. Methods that open tunnels, and other versions, are left to the server.
func (h *head) startLine(line []byte) {
	h.isHTTP2 = bytes.HasPrefix(line, []byte("PRI "))
	h.isRead = bytes.HasPrefix(line, get) || bytes.HasPrefix(line, headOf)
	if !bytes.HasSuffix(bytes.TrimSuffix(h.lineEnd, []byte{'\r'}), version) || bytes.HasPrefix(line, []byte("CONNECT ")) {
		h.body = openBody
	}
}

// leftToServer lists the headers that change how the connection is used.
var leftToServer = [][]byte{
	[]byte("transfer-encoding"), []byte("upgrade"), []byte("expect"), []byte("connection"), []byte("proxy-connection"),
}

// field examines a line of a header, of which only the beginning is known if it is truncated.
func (h *head) field(line []byte, truncated bool) {
	name, value, ok := bytes.Cut(line, []byte{':'})
	value = bytes.TrimSpace(value)
	switch {
	case !ok || line[0] == ' ' || line[0] == '\t':
		// A line that begins with a space continues the one before.
		h.body = openBody
	case bytes.EqualFold(name, []byte("host")):
		h.hosts++
	case bytes.EqualFold(name, []byte("content-length")):
		h.contentLength(value, truncated)
	case bytes.EqualFold(value, []byte("keep-alive")) && !truncated:
	default:
		for _, other := range leftToServer {
			if bytes.EqualFold(name, other) {
				h.body = openBody
			}
		}
	}
}

func (h *head) contentLength(value []byte, truncated bool) {
	n, err := strconv.ParseInt(string(value), 10, 64)
	switch {
	case truncated || err != nil || n < 0 || h.body != noBody:
		h.body = openBody
	case n > 0:
		h.body, h.length = sizedBody, n
	}
}

// mayPrecede reports whether the request may be served before its turn, as far as its head tells.
func (h *head) mayPrecede() bool {
	return h.isRead && h.body == noBody && h.hosts == 1
}

func (h *head) reset() {
	*h = head{line: h.line[:0], lineEnd: h.lineEnd[:0]}
}
