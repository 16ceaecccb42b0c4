package forwarder

import (
	"bytes"
	"io"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
)

// A body must be the same bytes at any size and for any size of reads, and a key in it must be found across segments.
func TestBodySegments(t *testing.T) {
	for _, size := range []int{1, 511, 512, 513, 4096, 4097, 70000, 1 << 20} {
		want := bytes.Repeat([]byte("0123456789abcde"), size/15+1)[:size]
		for _, known := range []bool{true, false} {
			var source io.Reader = bytes.NewReader(want)
			if size < 5000 {
				source = iotest.OneByteReader(source)
			}
			r := httptest.NewRequest("POST", "/", source)
			r.ContentLength = -1
			if known {
				r.ContentLength = int64(size)
			}
			in := bodyInput{Body: &Body{}, r: r, limit: int64(size)}
			if err := in.read(); err != nil {
				t.Fatal(size, err)
			}
			got, _ := io.ReadAll(iotest.HalfReader(in.newReader()))
			if !bytes.Equal(got, want) || in.Len() != int64(size) {
				t.Errorf("size %d, known %v: the body differs", size, known)
			}
			in = bodyInput{Body: &Body{}, r: httptest.NewRequest("POST", "/", strings.NewReader(string(want)+"x")), limit: int64(size)}
			in.r.ContentLength = -1
			if err := in.read(); err != errBodyTooLarge {
				t.Errorf("size %d: %v for a body over the limit", size, err)
			}
		}
	}
}

// A key must be found wherever it lies in a body, also when it is encoded and spans segments.
func TestBodyContainsKey(t *testing.T) {
	const key = "secret"
	once := "%73ecr%65t"
	for _, text := range []string{key, once, strings.ReplaceAll(once, "%", "%25"), "%25%37%33ecret"} {
		for offset := range 40 {
			all := strings.Repeat("x", offset) + text + "%zz%"
			var b Body
			for part := range slices.Chunk([]byte(all), 13) {
				b.segments = append(b.segments, part)
			}
			if !b.containsKey(key) || b.containsKey("secre7") || b.containsKey("") {
				t.Errorf("%q at %d is not found, or found wrongly", text, offset)
			}
		}
	}
}
