package exchanger

import "bufio"

// requestLineWriter writes a request whose first line, which net/http writes at once, is replaced.
type requestLineWriter struct {
	*bufio.Writer
	line    string
	written bool
}

// Write implements io.Writer.
func (w *requestLineWriter) Write(p []byte) (int, error) {
	if w.written {
		return w.Writer.Write(p)
	}
	w.written = true
	if _, err := w.WriteString(w.line); err != nil {
		return 0, err
	}
	return len(p), nil
}
