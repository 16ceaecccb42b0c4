package exchanger

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"
)

// endingConn is a connection that has ended for the reader. A write returns its error late: once the write deadline is set.
type endingConn struct {
	net.Conn
	began, ended chan struct{}
	writeErr     error
}

func (c *endingConn) Read([]byte) (int, error) {
	return 0, io.EOF
}

func (c *endingConn) Write([]byte) (int, error) {
	close(c.began)
	<-c.ended
	return 0, c.writeErr
}

func (c *endingConn) SetWriteDeadline(time.Time) error {
	close(c.ended)
	return nil
}

// TestEndSeenBeforeErrorOfWriteLooksOrdinary guards against a reader that sees the end of a reset connection just before the error
// of the writer is known.
func TestEndSeenBeforeErrorOfWriteLooksOrdinary(t *testing.T) {
	for _, tt := range []struct {
		name     string
		writeErr error
		want     bool
	}{
		{"reset", &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.ECONNRESET)}, false},
		{"broken pipe", &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.EPIPE)}, false},
		{"still writing", &net.OpError{Op: "write", Err: os.ErrDeadlineExceeded}, true},
		{"written", nil, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := &endingConn{began: make(chan struct{}), ended: make(chan struct{}), writeErr: tt.writeErr}
			s := &stream{Conn: c}
			var group sync.WaitGroup
			defer group.Wait()
			group.Go(func() { _, _ = s.Write([]byte("body")) })
			<-c.began
			for range 2 {
				if _, err := s.Read(make([]byte, 1)); (err == io.EOF) != tt.want {
					t.Fatalf("%v; want an ordinary end: %v", err, tt.want)
				}
				if tt.want {
					break
				}
			}
		})
	}
}
