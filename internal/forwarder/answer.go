package forwarder

import (
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/lavenderhub/lavenderhub/internal/asserter"
	"github.com/lavenderhub/lavenderhub/internal/refuser"
)

// report is what an answer tells the hop above about the work below it.
type report struct {
	level uint32
	load  float64
	spent uint32
	// hasSpent is false while the answer's work may still go on.
	hasSpent bool
	// final tells that the failure was retried below, or that it comes from below: the hop above must not retry.
	final bool
	// shed tells that the failure is one of capacity below.
	shed bool
	// repeats is the highest share of repeats among the service and those that it calls.
	repeats    float64
	hasRepeats bool
}

// Values of the header that keeps the hop above from retrying.
const (
	finalFailed = "failed"
	finalShed   = "shed"
)

func (p report) write(h http.Header) {
	h.Set(headerLevel, strconv.FormatUint(uint64(p.level), 10))
	h.Set(headerLoad, strconv.FormatFloat(p.load, 'f', 3, 64))
	if p.hasSpent {
		h.Set(headerSpent, strconv.FormatUint(uint64(p.spent), 10))
	}
	if p.hasRepeats {
		h.Set(headerRepeats, strconv.FormatFloat(p.repeats, 'f', 4, 64))
	}
	switch {
	case p.shed:
		h.Set(headerFinal, finalShed)
	case p.final:
		h.Set(headerFinal, finalFailed)
	}
}

func readReport(h http.Header) report {
	var p report
	if n, err := strconv.ParseUint(h.Get(headerLevel), 10, 32); err == nil {
		p.level = uint32(n)
	}
	if x, err := strconv.ParseFloat(h.Get(headerLoad), 64); err == nil {
		p.load = x
	}
	if n, err := strconv.ParseUint(h.Get(headerSpent), 10, 31); err == nil {
		p.spent, p.hasSpent = uint32(n), true
	}
	if x, err := strconv.ParseFloat(h.Get(headerRepeats), 64); err == nil && x >= 0 {
		p.repeats, p.hasRepeats = x, true
	}
	p.final = h.Get(headerFinal) != ""
	p.shed = h.Get(headerFinal) == finalShed
	return p
}

// answer is an upstream's answer. A small one is whole in held; of a larger one the rest comes from more.
type answer struct {
	status  int
	header  http.Header
	trailer http.Header
	held    []byte
	more    io.ReadCloser
	length  int64
	report  report
}

var errTooShort = errors.New("answer ends before its announced length")

// errNoLength is returned for an answer that ends with its connection: a broken one would look whole.
var errNoLength = errors.New("answer has neither a length nor chunks")

// readAnswer reads an answer's headers and its body, up to the size that is held. One without a length or chunks, which
// ends with its connection, is an error unless it is taken.
func readAnswer(resp *http.Response, takesUnframed bool) (*answer, error) {
	a := &answer{status: resp.StatusCode, header: ForwardableHeaders(resp.Header), length: resp.ContentLength}
	hasBody := resp.Request.Method != http.MethodHead && resp.StatusCode != http.StatusNoContent &&
		resp.StatusCode != http.StatusNotModified
	if !takesUnframed && resp.ProtoMajor == 1 && hasBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		_ = resp.Body.Close()
		return nil, errNoLength
	}
	held, err := io.ReadAll(io.LimitReader(resp.Body, heldBody))
	if err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	a.held = held
	if len(held) == heldBody {
		a.more = resp.Body
		return a, nil
	}
	_ = resp.Body.Close()
	a.trailer = resp.Trailer
	if hasBody && a.length >= 0 && int64(len(held)) != a.length {
		return nil, errTooShort
	}
	return a, nil
}

// isWhole reports whether nothing of the answer is outstanding.
func (a *answer) isWhole() bool {
	return a.more == nil
}

func (a *answer) close() {
	if a.more != nil {
		_ = a.more.Close()
	}
}

// isRetryable reports whether the upstream's status says that another worker may do better.
func (a *answer) isRetryable() bool {
	switch a.status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

// write sends the answer. When its rest breaks off, the receiver's stream is aborted, so that a part never looks
// whole; the abort is a panic that net/http knows.
func (f *Forwarder) write(w http.ResponseWriter, r *http.Request, a *answer) {
	defer a.close()
	h := w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	if a.isWhole() && len(a.trailer) == 0 && r.Method != http.MethodHead && a.status != http.StatusNoContent &&
		a.status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(a.held)))
	}
	w.WriteHeader(a.status)
	if _, err := w.Write(a.held); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		panic(http.ErrAbortHandler)
	}
	if !a.isWhole() {
		f.stream(w, a)
	}
	for name, values := range a.trailer {
		h[http.TrailerPrefix+name] = values
	}
}

func (f *Forwarder) stream(w http.ResponseWriter, a *answer) {
	rc := http.NewResponseController(w)
	buf := make([]byte, heldBody/2)
	total := int64(len(a.held))
	for {
		n, err := a.more.Read(buf)
		total += int64(n)
		if _, werr := w.Write(buf[:n]); werr != nil {
			panic(http.ErrAbortHandler)
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		_ = rc.Flush()
	}
	f.Assert.Check(asserter.WholeAnswer, a.length < 0 || total == a.length, "")
}

// refuse sends a refusal and counts it.
func (f *Forwarder) refuse(w http.ResponseWriter, ref *refuser.Refusal) {
	f.meters.refused(string(ref.Reason))
	ref.Write(w)
}
