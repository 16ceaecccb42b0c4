package dialer

import (
	"io"
	"sync"
)

// trackedBody calls release once, when the body ends, fails or is closed.
type trackedBody struct {
	io.ReadCloser
	release func()
	once    sync.Once
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.once.Do(b.release)
	}
	return n, err
}

// Close implements io.Closer.
func (b *trackedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.release)
	return err
}
