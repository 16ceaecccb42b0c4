package exchanger

import (
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
	// inlineBody is the largest request body, in bytes, that is written before the answer is read. A larger one is written
	// beside it: the upstream may answer before it has read the whole body.
	inlineBody = 32 << 10
	// maxForeign bounds the answers to other requests that are passed over while the own answer is awaited.
	maxForeign = 2
	// maxForeignBody bounds the body of such an answer in bytes.
	maxForeignBody = 1 << 20
	// maxInterim bounds the interim answers (1xx) before an answer.
	maxInterim = 8
)

// ErrMismatchedResponse is returned when the upstream answered other requests only.
var ErrMismatchedResponse = errors.New("the upstream's answer belongs to another request")

// MatchFunc reports whether an answer belongs to a request.
type MatchFunc func(req *http.Request, resp *http.Response) bool

func isAlwaysOwn(*http.Request, *http.Response) bool {
	return true
}

// Exchange is one request on its way.
type Exchange struct {
	// Sent is set once a byte of the request may have reached the upstream.
	Sent bool
}

// Do sends a request once and returns the answer's headers; the body follows as it is read. Sure asks for a connection
// that has just worked. The request ends with its context.
func (p *Pool) Do(req *http.Request, sure bool) (*http.Response, Exchange, error) {
	limit := IdleTimeout
	if sure {
		limit = RecentUseLimit
	}
	ctx := req.Context()
	c, err := p.take(ctx, limit)
	if err != nil {
		return nil, Exchange{}, err
	}
	stop := context.AfterFunc(ctx, c.close)
	x := Exchange{Sent: true}
	writing, sendErr := c.send(req)
	if sendErr != nil && !isAnswered(c) {
		return nil, x, c.fail(ctx, stop, errors.Wrap(sendErr, "send the request"))
	}
	resp, foreign, err := c.receive(req)
	if err != nil {
		return nil, x, c.fail(ctx, stop, errors.Wrap(err, "read the answer"))
	}
	resp.Body = &body{
		ReadCloser: resp.Body, conn: c, ctx: ctx, stop: stop, writing: writing,
		last: foreign || sendErr != nil || resp.Close || isUnframed(resp),
	}
	c.heed(resp.Header)
	return resp, x, nil
}

// isAnswered reports whether the upstream answered although the request could not be written whole.
func isAnswered(c *conn) bool {
	_, err := c.reader.Peek(1)
	return err == nil
}

// fail gives a connection up and returns the context's error when that ended the exchange.
func (c *conn) fail(ctx context.Context, stop func() bool, err error) error {
	stop()
	c.close()
	if cause := ctx.Err(); cause != nil {
		return cause
	}
	return err
}

// send writes a request. A long body is written by a goroutine, which the returned tomb holds.
func (c *conn) send(req *http.Request) (*tomb.Tomb, error) {
	if req.ContentLength <= inlineBody && req.ContentLength >= 0 {
		return nil, c.write(req)
	}
	t := &tomb.Tomb{}
	t.Go(func() error {
		err := c.write(req)
		if err != nil {
			// The reader learns of it by the end of the connection, unless an answer is there already.
			return errors.Wrap(err, "send the request")
		}
		return nil
	})
	return t, nil
}

func (c *conn) write(req *http.Request) error {
	if err := req.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// receive reads the headers of the own answer. Foreign reports that others came before it.
func (c *conn) receive(req *http.Request) (resp *http.Response, foreign bool, err error) {
	for range maxForeign + 1 {
		resp, err = c.readFinal(req)
		if err != nil {
			return nil, foreign, err
		}
		if c.pool.isOwn(req, resp) {
			return resp, foreign, nil
		}
		foreign = true
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBody))
		if err != nil || n == maxForeignBody || resp.Close || isUnframed(resp) {
			break
		}
	}
	return nil, foreign, ErrMismatchedResponse
}

// readFinal reads the next answer and passes interim ones over.
func (c *conn) readFinal(req *http.Request) (*http.Response, error) {
	for range maxInterim {
		resp, err := http.ReadResponse(c.reader, req)
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

// isUnframed reports whether an answer ends with its connection.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// heed shortens the time that an unused connection is kept to what the upstream announces, less a second for the way.
func (c *conn) heed(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			c.idleLimit = max(0, min(IdleTimeout, time.Duration(seconds-1)*time.Second))
		}
	}
}

// body is the body of an answer. At its clean end the connection serves the next request.
type body struct {
	io.ReadCloser
	conn    *conn
	ctx     context.Context
	stop    func() bool
	writing *tomb.Tomb
	last    bool
	done    bool
}

// Read reads the body. An end that is not clean is never io.EOF.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil || b.done {
		return n, err
	}
	if err == io.EOF {
		b.finish(true)
		return n, err
	}
	b.finish(false)
	if cause := b.ctx.Err(); cause != nil {
		return n, cause
	}
	return n, err
}

// Close ends the exchange; a body that was not read to its end costs the connection.
func (b *body) Close() error {
	b.finish(false)
	return nil
}

func (b *body) finish(clean bool) {
	if b.done {
		return
	}
	b.done = true
	undisturbed := b.stop()
	if !clean || b.last || !undisturbed || !b.isWritten() || b.conn.reader.Buffered() > 0 {
		b.conn.close()
		return
	}
	b.conn.pool.put(b.conn)
}

// isWritten reports whether the whole request has gone out.
func (b *body) isWritten() bool {
	if b.writing == nil {
		return true
	}
	select {
	case <-b.writing.Dead():
		return b.writing.Err() == nil
	default:
		return false
	}
}
