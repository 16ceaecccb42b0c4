package forwarder

import (
	"bytes"
	"context"
	"encoding/hex"
	"io"
	"math"
	"net/http"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/budgeter"
	"github.com/lavenderhub/lavenderhub/internal/refuser"
)

const (
	// firstSegment is the size in bytes of the first segment of a body of unknown length.
	firstSegment = 512
	// maxSegment is the size in bytes of the largest segment. What a body holds beyond its bytes is below that.
	maxSegment = 64 << 10
)

// Body is a request body. It is held in segments, so that it is not copied when it grows. A nil Body is empty.
type Body struct {
	segments [][]byte
	size     int64
	first    [1][]byte
}

// Len returns the size in bytes.
func (b *Body) Len() int64 {
	if b == nil {
		return 0
	}
	return b.size
}

// WriteTo implements io.WriterTo.
func (b *Body) WriteTo(w io.Writer) (int64, error) {
	var total int64
	if b == nil {
		return 0, nil
	}
	for _, segment := range b.segments {
		n, err := w.Write(segment)
		total += int64(n)
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

// containsKey reports whether the body contains a key, also one that is percent-encoded up to twice. It examines a segment at a
// time, so that the body is not copied as a whole.
func (b *Body) containsKey(key string) bool {
	if b == nil || key == "" {
		return false
	}
	overlap := maxEncodedSize * len(key)
	// tail is the end of the bytes before a segment, in which the key may begin.
	var tail []byte
	for _, segment := range b.segments {
		window := append(tail, segment...)
		if windowContainsKey(window, []byte(key)) {
			return true
		}
		tail = append([]byte(nil), window[max(0, len(window)-overlap):]...)
	}
	return false
}

// maxEncodedSize is the largest number of bytes of a byte that is percent-encoded twice: %25%34%31.
const maxEncodedSize = 9

func windowContainsKey(p, key []byte) bool {
	for range 3 {
		if bytes.Contains(p, key) {
			return true
		}
		if bytes.IndexByte(p, '%') < 0 {
			return false
		}
		p = unescape(p)
	}
	return false
}

// unescape decodes the valid percent-encoded bytes and leaves everything else, since a window may begin or end within one.
func unescape(p []byte) []byte {
	out := make([]byte, 0, len(p))
	for i := 0; i < len(p); i++ {
		if p[i] == '%' && i+2 < len(p) {
			if c, err := hex.DecodeString(string(p[i+1 : i+3])); err == nil {
				out = append(out, c[0])
				i += 2
				continue
			}
		}
		out = append(out, p[i])
	}
	return out
}

// newReader returns the body for a request, which can be read again.
func (b *Body) newReader() io.Reader {
	return &bodyReader{segments: b.segments}
}

// bodyReader reads a body.
type bodyReader struct {
	segments [][]byte
	offset   int
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	for len(r.segments) > 0 {
		n := copy(p, r.segments[0][r.offset:])
		if r.offset += n; r.offset == len(r.segments[0]) {
			r.segments, r.offset = r.segments[1:], 0
		}
		if n > 0 || len(p) == 0 {
			return n, nil
		}
	}
	return 0, io.EOF
}

// newBodyRequest returns a request with a body.
func newBodyRequest(ctx context.Context, method, url string, b *Body) (*http.Request, error) {
	if b.Len() == 0 {
		return http.NewRequestWithContext(ctx, method, url, http.NoBody)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, b.newReader())
	if err != nil {
		return nil, err
	}
	req.ContentLength = b.size
	req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(b.newReader()), nil }
	return req, nil
}

// hasPassed is a deadline in the past, which ends reads and writes.
var hasPassed = time.Unix(1, 0)

// ReadBody reads a request's body. It refuses a body that exceeds the limit of the configuration or, without one, of the
// settings, and one for which there is no memory.
func (f *Forwarder) ReadBody(w http.ResponseWriter, r *http.Request) (*Body, *refuser.Refusal) {
	limit := f.bodyLimit
	if view := f.Control.View(); view != nil && view.Limits.GetMaxBodyBytes() > 0 {
		limit = int64(min(view.Limits.GetMaxBodyBytes(), math.MaxInt64))
	}
	switch {
	case r.ContentLength > limit:
		return nil, bodyTooLarge()
	case r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody:
		return nil, nil
	}
	in := bodyInput{Body: &Body{}, budget: f.budget, w: w, r: r, limit: limit}
	err := in.read()
	kept := in.holding.Keep()
	if err == nil && kept {
		if in.holding != nil {
			context.AfterFunc(r.Context(), in.holding.Close)
		}
		return in.Body, nil
	}
	in.holding.Close()
	if !kept || err == errNoMemory {
		// The rest of the body is not read, not even to keep the connection open.
		_ = http.NewResponseController(w).SetReadDeadline(hasPassed)
		if r.ProtoMajor == 1 {
			w.Header().Set("Connection", "close")
		}
		return nil, refuseNotRun(refuser.OutOfMemory, "the node has no memory for the body")
	}
	if err == errBodyTooLarge {
		return nil, bodyTooLarge()
	}
	return nil, badRequest("the body broke off")
}

func bodyTooLarge() *refuser.Refusal {
	return refuser.New(refuser.NotRun, refuser.BodyTooLarge, "the body is over the limit")
}

// bodyInput reads a body and charges its segments to the budget before they are allocated.
type bodyInput struct {
	*Body
	budget  *budgeter.Budget
	holding *budgeter.Holding
	w       http.ResponseWriter
	r       *http.Request
	limit   int64
}

// read reads the body to its end.
func (in *bodyInput) read() error {
	for {
		free, err := in.room()
		if err != nil {
			return err
		}
		n, err := in.r.Body.Read(free)
		if n > 0 && in.size+int64(n) > in.limit {
			return errBodyTooLarge
		}
		if n > 0 {
			last := &in.segments[len(in.segments)-1]
			*last = (*last)[:len(*last)+n]
			in.size += int64(n)
			in.holding.Progress(n)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// room returns the free part of the last segment, and adds a segment if there is none.
func (in *bodyInput) room() ([]byte, error) {
	if in.segments == nil {
		size := in.r.ContentLength
		if size < 0 {
			size = firstSegment
		}
		in.first[0] = make([]byte, 0, min(size, budgeter.FreeSize))
		in.segments = in.first[:]
		return in.first[0][:cap(in.first[0])], nil
	}
	last := in.segments[len(in.segments)-1]
	if len(last) < cap(last) {
		return last[len(last):cap(last)], nil
	}
	if in.size == in.r.ContentLength {
		// Only the end of the body is left to read.
		return make([]byte, 1), nil
	}
	size := min(max(in.size, budgeter.FreeSize), maxSegment)
	if rest := in.r.ContentLength - in.size; rest > 0 {
		size = min(size, rest)
	}
	if in.holding == nil && in.size+size > budgeter.FreeSize {
		control := http.NewResponseController(in.w)
		in.holding = in.budget.Open(func() bool { return control.SetReadDeadline(hasPassed) == nil })
	}
	if !in.holding.Take(size) {
		return nil, errNoMemory
	}
	in.segments = append(in.segments, make([]byte, 0, size))
	return in.segments[len(in.segments)-1][:size], nil
}
