package pipeliner

import "context"

const (
	// resetOnClose is the linger time in seconds with which a connection ends with a reset.
	resetOnClose = 0
	// endOnClose is the linger time with which a connection ends in order.
	endOnClose = -1
)

// ResetUntilComplete lets the connection of a request end with a reset, however it ends, until the returned function is called. It is
// for responses whose end is the end of their connection.
func ResetUntilComplete(ctx context.Context) (complete func()) {
	t, ok := ctx.Value(turnKey{}).(turn)
	if !ok {
		return func() {}
	}
	tcp, ok := t.pipe.raw.(interface{ SetLinger(seconds int) error })
	if !ok {
		return func() {}
	}
	t.pipe.setResets(true)
	// An error means that the connection is closed already.
	_ = tcp.SetLinger(resetOnClose)
	return func() {
		_ = tcp.SetLinger(endOnClose)
		t.pipe.setResets(false)
	}
}
