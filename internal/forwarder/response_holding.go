package forwarder

import (
	"net/http"

	"github.com/lavenderhub/lavenderhub/internal/budgeter"
	"github.com/lavenderhub/lavenderhub/internal/dialer"
)

// streamBuffer is the size in bytes of the buffer through which the rest of a large response passes.
const streamBuffer = maxBufferedBody / 2

// holdResponse charges a response to the budget while it is sent. A ready response is not refused for its size, but a caller that
// stops reading may be dropped. Another node may not: its own budget drops the caller.
func (f *Forwarder) holdResponse(w http.ResponseWriter, r *http.Request, resp *response) *budgeter.Holding {
	size := cap(resp.buffered)
	if !resp.isComplete() {
		size += streamBuffer + dialer.MaxStreamBuffer
	}
	if f.budget == nil || size <= budgeter.FreeSize {
		return nil
	}
	control := http.NewResponseController(w)
	h := f.budget.Open(func() bool { return !IsHop(r) && control.SetWriteDeadline(hasPassed) == nil })
	h.Charge(int64(size))
	return h
}
