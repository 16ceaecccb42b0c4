package exchanger

import "bytes"

const (
	// minStatus and maxStatus bound the valid status codes (RFC 9110, section 15).
	minStatus = 100
	maxStatus = 599
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
	statusLine, _, _ := bytes.Cut(head, []byte("\n"))
	return checkStatusLine(trimLineEnd(statusLine))
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

// isFieldValue reports whether a text has no control bytes other than tabs.
func isFieldValue[T []byte | string](text T) bool {
	for i := range len(text) {
		if b := text[i]; (b < ' ' && b != '\t') || b == 0x7f {
			return false
		}
	}
	return true
}
