package dialer

import (
	"io"
	"sync"
)

// trackedBody releases what its request holds once the body ends or is closed.
type trackedBody struct {
	io.ReadCloser
	release func()
	once    sync.Once
}

// Read reads from the body and releases at its end.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.once.Do(b.release)
	}
	return n, err
}

// Close closes the body and releases.
func (b *trackedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.release)
	return err
}
