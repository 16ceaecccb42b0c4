package dialer

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/lavenderhub/lavenderhub/internal/budgeter"
)

const (
	// MaxMessageBytes bounds the body of a request between processes of the fleet. The largest are parts of the control state, of which a
	// full configuration has up to 16 MB.
	MaxMessageBytes = 32 << 20
	// bufferedCost is the memory of a buffered body for each byte: the buffer with its growth, and the message that is decoded from it.
	bufferedCost = 4
	// noMemoryRetryAfter is the time in seconds after which a request for which there was no memory may be sent again.
	noMemoryRetryAfter = "1"
)

// hasPassed is a deadline in the past, which ends reads.
var hasPassed = time.Unix(1, 0)

var errNoMemory = errors.New("no memory for the body")

// BufferBodies passes requests on once their bodies, of up to the given number of bytes, are read. Bodies are charged to the budget as
// they arrive; those that stall make room for others. A request whose body is not complete never takes a place that the handler limits.
func BufferBodies(b *budgeter.Budget, limit int64, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		control := http.NewResponseController(w)
		body := &chargedBody{Reader: r.Body, budget: b, drop: func() bool { return control.SetReadDeadline(hasPassed) == nil }}
		data, err := io.ReadAll(io.LimitReader(body, limit+1))
		defer body.close()
		switch kept := body.holding.Keep(); {
		case !kept || errors.Is(err, errNoMemory):
			w.Header().Set("Retry-After", noMemoryRetryAfter)
			endBody(w, r, control, http.StatusServiceUnavailable, errNoMemory.Error())
		case err != nil:
			endBody(w, r, control, http.StatusBadRequest, "the body broke off")
		case int64(len(data)) > limit:
			endBody(w, r, control, http.StatusRequestEntityTooLarge, "the body is over the limit")
		default:
			r.Body = io.NopCloser(bytes.NewReader(data))
			next.ServeHTTP(w, r)
		}
	})
}

// endBody answers a request whose body is not read to its end.
func endBody(w http.ResponseWriter, r *http.Request, control *http.ResponseController, status int, message string) {
	// The connection closes, so that an error makes no difference.
	_ = control.SetReadDeadline(hasPassed)
	if r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
	http.Error(w, message, status)
}

// chargedBody charges what is read to a budget.
type chargedBody struct {
	io.Reader
	budget  *budgeter.Budget
	drop    func() bool
	holding *budgeter.Holding
	size    int
}

// Read implements io.Reader.
func (c *chargedBody) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.size += n
	if c.size <= budgeter.FreeSize {
		return n, err
	}
	if c.holding == nil {
		c.holding = c.budget.Open(c.drop)
	}
	if !c.holding.Take(int64(bufferedCost * n)) {
		return 0, errNoMemory
	}
	c.holding.Progress(n)
	return n, err
}

func (c *chargedBody) close() {
	c.holding.Close()
}
