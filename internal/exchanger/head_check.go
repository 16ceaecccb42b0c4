package exchanger

import (
	"bytes"
	"net/http"
	"strings"
)

const (
	// minStatus and maxStatus bound the valid status codes (RFC 9110, section 15).
	minStatus = 100
	maxStatus = 599
	// tokenMarks are the bytes of a token other than letters and digits.
	tokenMarks = "!#$%&'*+-.^_`|~"
)

// findHeadEnd looks for the empty line that ends a head, from the start of a line on. It returns the length of the head, or zero and
// the start of the last line, which is incomplete.
func findHeadEnd(data []byte, from int) (end, lastLine int) {
	for {
		n := bytes.IndexByte(data[from:], '\n')
		if n < 0 {
			return 0, from
		}
		line := trimLineEnd(data[from : from+n+1])
		from += n + 1
		if len(line) == 0 {
			return from, from
		}
	}
}

// trimLineEnd returns a line without its end. A line may end with a line feed alone (RFC 9112, section 2.2).
func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// checkHead checks the lines of a complete head. net/http accepts heads that other recipients read differently.
func checkHead(head []byte) error {
	statusLine, fields, _ := bytes.Cut(head, []byte("\n"))
	statusLine = trimLineEnd(statusLine)
	if err := checkStatusLine(statusLine); err != nil {
		return err
	}
	hasChunks := bytes.HasPrefix(statusLine, []byte("HTTP/1.1"))
	for line := range bytes.Lines(fields) {
		if line = trimLineEnd(line); len(line) == 0 {
			break
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		switch {
		case !ok || !isToken(name):
			// This includes a line that continues the one before. A gateway may refuse it (RFC 9112, section 5.2). Taken as a
			// continuation, a length after a space would become a part of another field.
			return newInvalidError("field name", line)
		case !isFieldValue(value):
			return newInvalidError("field value", line)
		case !hasChunks && bytes.EqualFold(name, []byte("Transfer-Encoding")):
			// net/http would take the chunks for the body (RFC 9112, section 6.1).
			return newInvalidError("transfer encoding", line)
		}
	}
	return nil
}

// checkTrailer checks the fields that followed the chunks of a response. net/http keeps names with spaces.
func checkTrailer(trailer http.Header) error {
	for name, values := range trailer {
		// A name without values is only announced.
		if len(values) > 0 && !isToken(name) {
			return newInvalidError("trailer name", []byte(name))
		}
		for _, value := range values {
			if !isFieldValue(value) {
				return newInvalidError("trailer value", []byte(value))
			}
		}
	}
	return nil
}

// checkStatusLine checks a status line. The reason may be missing, with the space before it.
func checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if string(version) != "HTTP/1.1" && string(version) != "HTTP/1.0" {
		return newInvalidError("version", line)
	}
	code, reason, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if !isStatus(code) {
		return newInvalidError("status code", line)
	}
	if !isFieldValue(reason) {
		return newInvalidError("status line", line)
	}
	return nil
}

func isStatus(code []byte) bool {
	if len(code) != 3 {
		return false
	}
	n := 0
	for _, digit := range code {
		if digit < '0' || digit > '9' {
			return false
		}
		n = 10*n + int(digit-'0')
	}
	return n >= minStatus && n <= maxStatus
}

// isToken reports whether a text is a token (RFC 9110, section 5.6.2).
func isToken[T []byte | string](text T) bool {
	for i := range len(text) {
		b := text[i]
		isLetter := (b|0x20) >= 'a' && (b|0x20) <= 'z'
		isDigit := b >= '0' && b <= '9'
		if !isLetter && !isDigit && strings.IndexByte(tokenMarks, b) < 0 {
			return false
		}
	}
	return len(text) > 0
}

// isFieldValue reports whether a text has no control bytes other than tabs.
func isFieldValue[T []byte | string](text T) bool {
	for i := range len(text) {
		if b := text[i]; (b < ' ' && b != '\t') || b == 0x7f {
			return false
		}
	}
	return true
}
