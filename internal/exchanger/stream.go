package exchanger

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// stream reads from and writes to a connection, and reports its end as io.EOF only if it had no error. Linux reports the reset of a
// connection once, to the reader or to the writer. If the writer gets it, the reader sees an ordinary end of the stream.
type stream struct {
	net.Conn

	// readErr is the first error of a read other than io.EOF. Only the reader uses it.
	readErr error

	// mu is held during a write.
	mu       sync.Mutex
	writeErr error
}

// Read implements io.Reader. One goroutine may read while another writes.
func (s *stream) Read(p []byte) (int, error) {
	if s.readErr != nil {
		return 0, s.readErr
	}
	n, err := s.Conn.Read(p)
	if err == io.EOF {
		err = s.checkEnd()
	}
	if err != nil && err != io.EOF {
		s.readErr = err
	}
	return n, err
}

// checkEnd returns io.EOF if no write had an error, and otherwise that error. It ends a write that is in progress, because that one
// may have taken the error without having returned yet. The connection is not used again after its end.
func (s *stream) checkEnd() error {
	if err := s.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return errors.Wrap(err, "end the request")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writeErr == nil || errors.Is(s.writeErr, os.ErrDeadlineExceeded) {
		return io.EOF
	}
	return errors.Wrap(s.writeErr, "the connection ended with an error")
}

// Write implements io.Writer.
func (s *stream) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, err := s.Conn.Write(p)
	if err != nil && s.writeErr == nil {
		s.writeErr = err
	}
	return n, err
}

// ReadFrom implements io.ReaderFrom, so that a long body is written in larger parts than those of the write buffer.
func (s *stream) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{s}, r)
}
