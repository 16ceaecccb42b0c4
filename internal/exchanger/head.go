package exchanger

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math"

	"github.com/pkg/errors"
)

const (
	// maxHeadBytes bounds the head of a final response, together with the interim responses before it.
	maxHeadBytes = 64 << 10
	// maxQuotedBytes bounds the bytes that a HeadError quotes.
	maxQuotedBytes = 32
	// headStart begins each response.
	headStart = "HTTP/"
)

// HeadError is returned when an upstream's bytes begin no response, or contain no complete head within its limit.
type HeadError struct {
	// Read is the number of bytes that were read.
	Read int
	// Start holds the first bytes. They may be of any kind and are not for callers.
	Start string
}

// Error implements error.
func (e *HeadError) Error() string {
	return fmt.Sprintf("%s; they begin with %q; check the upstream", e.Summary(), e.Start)
}

// Summary returns the error's text without the upstream's bytes.
func (e *HeadError) Summary() string {
	return fmt.Sprintf("the upstream sent %d bytes without the head of a response", e.Read)
}

var errHeadTooLong = errors.New("the head is too long")

// boundedReader reads from a connection, and fails when it has read as many bytes as are left.
type boundedReader struct {
	io.Reader
	left int
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := b.Reader.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

// boundHead bounds what is read until unboundHead is called. Bytes that are already in the buffer count.
func (c *conn) boundHead() {
	c.bounded.left = maxHeadBytes - c.reader.Buffered()
}

// unboundHead ends the bound. Bodies are streamed, and net/http itself bounds the lines of chunks and trailers.
func (c *conn) unboundHead() {
	c.bounded.left = math.MaxInt
}

// checkHeadStart returns a HeadError if the next bytes begin no response. If they end early, the parser reports it.
func (c *conn) checkHeadStart() error {
	for i := range len(headStart) {
		start, err := c.reader.Peek(i + 1)
		if err != nil {
			return nil
		}
		if start[i] != headStart[i] {
			start, _ = c.reader.Peek(min(c.reader.Buffered(), maxQuotedBytes))
			return &HeadError{Read: maxHeadBytes - c.bounded.left, Start: string(start)}
		}
	}
	return nil
}

// checkNextHead waits for the next head and checks it. The head stays in the reader, whose buffer grows up to the limit of a head.
func (c *conn) checkNextHead() error {
	for lastLine := 0; ; {
		data, _ := c.reader.Peek(c.reader.Buffered())
		end := 0
		if end, lastLine = findHeadEnd(data, lastLine); end > 0 {
			return checkHead(data[:end])
		}
		if len(data) == c.reader.Size() && len(data) < maxHeadBytes {
			c.growReader(data)
			continue
		}
		if _, err := c.reader.Peek(len(data) + 1); err != nil {
			return c.headError(data, err)
		}
	}
}

// growReader doubles the size of the reader's buffer, which is full with data.
func (c *conn) growReader(data []byte) {
	buffered := bytes.NewReader(bytes.Clone(data))
	c.reader = bufio.NewReaderSize(io.MultiReader(buffered, c.bounded), min(2*len(data), maxHeadBytes))
	// The buffer has room for the data, and reading it can't fail.
	_, _ = c.reader.Peek(len(data))
}

// shrinkReader replaces a buffer that has grown, once it is empty.
func (c *conn) shrinkReader() {
	if c.reader.Size() > readBufferSize {
		c.reader = bufio.NewReaderSize(c.bounded, readBufferSize)
	}
}

// headError returns the error for a head of which only data arrived.
func (c *conn) headError(data []byte, err error) error {
	switch {
	case c.bounded.left <= 0:
		return &HeadError{Read: maxHeadBytes, Start: string(data[:min(len(data), maxQuotedBytes)])}
	case err == io.EOF:
		return io.ErrUnexpectedEOF
	default:
		return err
	}
}
