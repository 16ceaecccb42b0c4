package exchanger

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"
)

const (
	// maxInlineBody is the largest request body in bytes that is written before the response is read. A larger body is
	// written concurrently, because the upstream may respond before it has read the whole body.
	maxInlineBody = 32 << 10
	// maxMismatched bounds the responses to other requests that are skipped while waiting for the matching one.
	maxMismatched = 2
	// maxMismatchedBody bounds the body of a skipped response in bytes.
	maxMismatchedBody = 1 << 20
	// maxInterim bounds the interim (1xx) responses before a final one.
	maxInterim = 8
)

// ErrMismatchedResponse is returned when the upstream sent only responses that belong to other requests.
var ErrMismatchedResponse = errors.New("the upstream's answer belongs to another request")

// Match tells to which request a response belongs.
type Match int

// Values of Match.
const (
	// Other means that the response belongs to another request.
	Other Match = iota
	// Own means that the response names its request.
	Own
	// Unnamed means that the response names no request but may be taken for this one's. A copy of it that the upstream sends
	// later could not be told from the response to the next request, so its connection is not used again.
	Unnamed
)

// MatchFunc tells whether a response belongs to a request.
type MatchFunc func(req *http.Request, resp *http.Response) Match

func matchAny(*http.Request, *http.Response) Match {
	return Unnamed
}

// Exchange describes how far an attempt to send a request got.
type Exchange struct {
	// Sent reports whether any part of the request may have reached the upstream.
	Sent bool
}

// Do sends a request once and returns as soon as the response headers have arrived; the body is read from the
// connection on demand. With recent, an idle connection is used only if it was last used within RecentUseLimit. When
// the context ends, the connection is closed and the context's error is returned.
func (p *Pool) Do(req *http.Request, recent bool) (*http.Response, Exchange, error) {
	limit := IdleTimeout
	if recent {
		limit = RecentUseLimit
	}
	ctx := req.Context()
	c, err := p.get(ctx, limit)
	if err != nil {
		return nil, Exchange{}, err
	}
	stop := context.AfterFunc(ctx, c.close)
	x := Exchange{Sent: true}
	writer, sendErr := c.send(req)
	if sendErr != nil && !hasResponse(c) {
		return nil, x, c.fail(ctx, stop, errors.Wrap(sendErr, "send the request"))
	}
	resp, match, err := c.receive(req)
	if err != nil {
		return nil, x, c.fail(ctx, stop, errors.Wrap(err, "read the answer"))
	}
	resp.Body = &body{
		ReadCloser: resp.Body, resp: resp, conn: c, ctx: ctx, stop: stop, writer: writer,
		closeAfter: match != Own || sendErr != nil || resp.Close || isUnframed(resp),
	}
	c.applyKeepAlive(resp.Header)
	return resp, x, nil
}

// hasResponse reports whether the upstream responded although the request could not be written completely.
func hasResponse(c *conn) bool {
	_, err := c.reader.Peek(1)
	return err == nil
}

// fail closes the connection. It returns the context's error if the context has ended, and err otherwise.
func (c *conn) fail(ctx context.Context, stop func() bool, err error) error {
	stop()
	c.close()
	if cause := ctx.Err(); cause != nil {
		return cause
	}
	return err
}

// send writes a request. A long body, or one of unknown length, is written by a goroutine of the returned tomb.
func (c *conn) send(req *http.Request) (*tomb.Tomb, error) {
	if req.ContentLength <= maxInlineBody && req.ContentLength >= 0 {
		return nil, c.write(req)
	}
	t := &tomb.Tomb{}
	t.Go(func() error {
		err := c.write(req)
		if err != nil {
			// If no response has arrived, the reader sees the end of the connection.
			return errors.Wrap(err, "send the request")
		}
		return nil
	})
	return t, nil
}

func (c *conn) write(req *http.Request) error {
	var w io.Writer = c.writer
	if target := req.URL.Opaque; strings.HasPrefix(target, "//") {
		// net/http would put the scheme in front of the target.
		w = &requestLineWriter{Writer: c.writer, line: req.Method + " " + target + " HTTP/1.1\r\n"}
	}
	if err := req.Write(w); err != nil {
		return err
	}
	return c.writer.Flush()
}

// receive reads the headers of the matching response. It returns Unnamed also if it skipped responses to other requests.
func (c *conn) receive(req *http.Request) (*http.Response, Match, error) {
	skipped := false
	for range maxMismatched + 1 {
		resp, err := c.readFinal(req)
		if err != nil {
			return nil, Other, err
		}
		if match := c.pool.match(req, resp); match != Other {
			if skipped {
				match = Unnamed
			}
			return resp, match, nil
		}
		skipped = true
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxMismatchedBody))
		if err != nil || n == maxMismatchedBody || resp.Close || isUnframed(resp) {
			break
		}
	}
	return nil, Other, ErrMismatchedResponse
}

// readFinal reads the head of the next final response, skipping interim ones.
func (c *conn) readFinal(req *http.Request) (*http.Response, error) {
	c.boundHead()
	defer c.unboundHead()
	for range maxInterim {
		resp, err := c.readHead(req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the upstream switched protocols unasked")
		}
	}
	return nil, errors.New("too many interim answers")
}

// readHead reads one head.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	if err := c.checkHeadStart(); err != nil {
		return nil, err
	}
	if err := c.checkNextHead(); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.reader, req)
	if err != nil {
		// The head is complete and its lines are valid.
		return nil, newInvalidError("length or encoding", []byte(err.Error()))
	}
	return resp, nil
}

// isUnframed reports whether the end of the response body is marked only by the end of the connection.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// applyKeepAlive lowers the connection's idle timeout to the one in the upstream's Keep-Alive header, less one second, so
// that a request in transit does not reach the upstream after the timeout.
func (c *conn) applyKeepAlive(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			// A figure out of range must not overflow.
			seconds = min(max(seconds, 1), int(IdleTimeout/time.Second)+2)
			c.idleTimeout = min(IdleTimeout, time.Duration(seconds-1)*time.Second)
		}
	}
}

// body is a response body. When it is read to its end without an error, the connection returns to the pool.
type body struct {
	io.ReadCloser
	resp       *http.Response
	conn       *conn
	ctx        context.Context
	stop       func() bool
	writer     *tomb.Tomb
	closeAfter bool
	finished   bool
}

// Read reads the body. It returns io.EOF only at the end of a complete body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil || b.finished {
		return n, err
	}
	if err == io.EOF {
		err = cmp.Or(checkTrailer(b.resp.Trailer), io.EOF)
		b.finish(err == io.EOF)
		return n, err
	}
	b.finish(false)
	if cause := b.ctx.Err(); cause != nil {
		return n, cause
	}
	return n, err
}

// Close ends the exchange. It closes the connection unless the body was read to its end.
func (b *body) Close() error {
	b.finish(false)
	return nil
}

func (b *body) finish(clean bool) {
	if b.finished {
		return
	}
	b.finished = true
	stopped := b.stop()
	if !clean || b.closeAfter || !stopped || !b.isRequestSent() || b.conn.reader.Buffered() > 0 {
		b.conn.close()
		return
	}
	b.conn.pool.put(b.conn)
}

// isRequestSent reports whether the whole request has been written.
func (b *body) isRequestSent() bool {
	if b.writer == nil {
		return true
	}
	select {
	case <-b.writer.Dead():
		return b.writer.Err() == nil
	default:
		return false
	}
}
