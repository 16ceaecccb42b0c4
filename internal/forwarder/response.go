package forwarder

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/lavenderhub/lavenderhub/internal/asserter"
	"github.com/lavenderhub/lavenderhub/internal/budgeter"
	"github.com/lavenderhub/lavenderhub/internal/exchanger"
	"github.com/lavenderhub/lavenderhub/internal/pipeliner"
	"github.com/lavenderhub/lavenderhub/internal/refuser"
)

// hopReport holds the response headers by which a node reports its load and its retries to the previous hop.
type hopReport struct {
	level        uint32
	load         float64
	expected     time.Duration
	spentRetries uint32
	// hasSpentRetries is false while the call may still spend retries, as during a streamed response.
	hasSpentRetries bool
	// final is set when the failure comes from a nested call or was already retried further down the call chain. The
	// previous hop must not retry it.
	final bool
	// shed is set when the failure is a lack of capacity further down the call chain.
	shed bool
	// retryShare is the highest retry share among the service and the services that it calls.
	retryShare    float64
	hasRetryShare bool
	// suspendedFor is the time for which the sender should avoid the upstream.
	suspendedFor time.Duration
	// congestion is the highest one among the service and the services that it calls.
	congestion congestionReport
	// coldLeft is how much longer the upstream is cold. It is zero if it is not.
	coldLeft time.Duration
}

// Values of the Lavenderhub-Final header, which keeps the previous hop from retrying.
const (
	finalFailed = "failed"
	finalShed   = "shed"
)

func (r hopReport) write(h http.Header) {
	h.Set(headerLevel, strconv.FormatUint(uint64(r.level), 10))
	h.Set(headerLoad, strconv.FormatFloat(r.load, 'f', 3, 64))
	writeExpectedTime(h, r.expected)
	if r.hasSpentRetries {
		h.Set(headerSpent, strconv.FormatUint(uint64(r.spentRetries), 10))
	}
	if r.hasRetryShare {
		h.Set(headerRetryShare, strconv.FormatFloat(r.retryShare, 'f', 4, 64))
	}
	if r.suspendedFor > 0 {
		h.Set(headerSuspended, strconv.FormatInt(max(1, r.suspendedFor.Milliseconds()), 10))
	}
	r.congestion.write(h)
	if r.coldLeft > 0 {
		h.Set(headerCold, strconv.FormatInt(r.coldLeft.Milliseconds()+1, 10))
	}
	switch {
	case r.shed:
		h.Set(headerFinal, finalShed)
	case r.final:
		h.Set(headerFinal, finalFailed)
	}
}

func readReport(h http.Header) hopReport {
	var report hopReport
	if n, err := strconv.ParseUint(h.Get(headerLevel), 10, 32); err == nil {
		report.level = uint32(n)
	}
	if x, err := strconv.ParseFloat(h.Get(headerLoad), 64); err == nil {
		report.load = x
	}
	report.expected = readExpectedTime(h)
	if n, err := strconv.ParseUint(h.Get(headerSpent), 10, 31); err == nil {
		report.spentRetries, report.hasSpentRetries = uint32(n), true
	}
	if x, err := strconv.ParseFloat(h.Get(headerRetryShare), 64); err == nil && x >= 0 {
		report.retryShare, report.hasRetryShare = x, true
	}
	if ms, err := strconv.ParseUint(h.Get(headerSuspended), 10, 31); err == nil {
		report.suspendedFor = time.Duration(ms) * time.Millisecond
	}
	report.congestion = readCongestion(h)
	if n, err := strconv.ParseUint(h.Get(headerCold), 10, 32); err == nil {
		report.coldLeft = time.Duration(n) * time.Millisecond
	}
	report.final = h.Get(headerFinal) != ""
	report.shed = h.Get(headerFinal) == finalShed
	return report
}

// response is an upstream's response. A small body is complete in buffered; the remainder of a larger one is read from
// rest.
type response struct {
	status   int
	header   http.Header
	trailer  http.Header
	buffered []byte
	rest     io.ReadCloser
	length   int64
	report   hopReport
}

// errNoMemory and errBodyTooLarge end the reading of a request body.
var (
	errNoMemory     = errors.New("no memory for the body")
	errBodyTooLarge = errors.New("the body is over the limit")
)

var errTruncated = errors.New("answer ends before its announced length")

// errUnframed is returned for a response that is delimited by the end of its connection: truncation would go unnoticed.
var errUnframed = errors.New("answer has neither a length nor chunks")

// readResponse reads the headers and up to maxBufferedBody bytes of the body. A response with neither a length nor
// chunked encoding is an error unless allowUnframed is set.
func readResponse(httpResp *http.Response, allowUnframed bool) (*response, error) {
	resp := &response{status: httpResp.StatusCode, header: ForwardableHeaders(httpResp.Header), length: httpResp.ContentLength}
	hasBody := httpResp.Request.Method != http.MethodHead && httpResp.StatusCode != http.StatusNoContent &&
		httpResp.StatusCode != http.StatusNotModified
	if !allowUnframed && httpResp.ProtoMajor == 1 && hasBody && httpResp.ContentLength < 0 && len(httpResp.TransferEncoding) == 0 {
		_ = httpResp.Body.Close()
		return nil, errUnframed
	}
	buffered, err := io.ReadAll(io.LimitReader(httpResp.Body, maxBufferedBody))
	if err != nil {
		_ = httpResp.Body.Close()
		return nil, err
	}
	resp.buffered = buffered
	if len(buffered) == maxBufferedBody {
		resp.rest = httpResp.Body
		return resp, nil
	}
	_ = httpResp.Body.Close()
	resp.trailer = httpResp.Trailer
	if hasBody && resp.length >= 0 && int64(len(buffered)) != resp.length {
		return nil, errTruncated
	}
	return resp, nil
}

// isInvalidResponse reports whether an upstream sent a response that breaks the syntax of HTTP. It does not show that the request ran.
func isInvalidResponse(err error) bool {
	return errors.As(err, new(*exchanger.InvalidError))
}

// isComplete reports whether the response has been read to its end.
func (r *response) isComplete() bool {
	return r.rest == nil
}

func (r *response) close() {
	if r.rest != nil {
		_ = r.rest.Close()
	}
}

// isRetryable reports whether another worker may succeed, judging by the status code.
func (r *response) isRetryable() bool {
	switch r.status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

// sendResponse sends the response. If the upstream's body breaks off, it aborts the receiver's stream by a panic with
// http.ErrAbortHandler, so that the receiver can't take a truncated body for a complete one.
func (f *Forwarder) sendResponse(w http.ResponseWriter, r *http.Request, resp *response) {
	defer resp.close()
	h := w.Header()
	for name, values := range resp.header {
		h[name] = values
	}
	if resp.isComplete() && len(resp.trailer) == 0 && r.Method != http.MethodHead && resp.status != http.StatusNoContent &&
		resp.status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(resp.buffered)))
	}
	holding := f.holdResponse(w, r, resp)
	defer holding.Close()
	w.WriteHeader(resp.status)
	if _, err := w.Write(resp.buffered); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		panic(http.ErrAbortHandler)
	}
	complete := func() {}
	if !resp.isComplete() {
		complete = resetUntilComplete(r)
		f.streamRest(w, resp, holding)
	}
	if !holding.Keep() {
		// The connection has a write deadline that has passed.
		panic(http.ErrAbortHandler)
	}
	complete()
	for name, values := range resp.trailer {
		h[http.TrailerPrefix+name] = values
	}
}

// resetUntilComplete lets a connection with HTTP/1.0 end with a reset until the returned function is called. Without chunks an ordinary
// end would complete the response.
func resetUntilComplete(r *http.Request) (complete func()) {
	if r.ProtoAtLeast(1, 1) {
		return func() {}
	}
	return pipeliner.ResetUntilComplete(r.Context())
}

func (f *Forwarder) streamRest(w http.ResponseWriter, resp *response, holding *budgeter.Holding) {
	rc := http.NewResponseController(w)
	buf := make([]byte, streamBuffer)
	total := int64(len(resp.buffered))
	for {
		n, err := resp.rest.Read(buf)
		total += int64(n)
		if _, werr := w.Write(buf[:n]); werr != nil {
			panic(http.ErrAbortHandler)
		}
		holding.Progress(n)
		if err == io.EOF {
			break
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		_ = rc.Flush()
	}
	f.Assert.Check(asserter.WholeAnswer, resp.length < 0 || total == resp.length, "")
}

// refuse sends a refusal and counts it.
func (f *Forwarder) refuse(w http.ResponseWriter, ref *refuser.Refusal) {
	f.meters.countRefusal(string(ref.Reason))
	ref.Write(w)
}
