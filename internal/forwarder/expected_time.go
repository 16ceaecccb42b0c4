package forwarder

import (
	"net/http"
	"strconv"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/admitter"
)

// maxExpectedTime bounds the expected time that is read from a response.
const maxExpectedTime = time.Hour

// writeExpectedTime sets the header with the expected time of one more call, in milliseconds with two digits of precision, if
// there is an estimate. It is kept short, since it is sent with each response.
func writeExpectedTime(h http.Header, d time.Duration) {
	if d <= 0 {
		return
	}
	millis := float64(d) / float64(time.Millisecond)
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(millis, 'e', 1, 64), 64)
	if err != nil {
		return
	}
	h.Set(headerExpectedTime, strconv.FormatFloat(rounded, 'f', -1, 64))
}

// readExpectedTime returns the expected time of one more call, or zero if the header is absent or invalid.
func readExpectedTime(h http.Header) time.Duration {
	millis, err := strconv.ParseFloat(h.Get(headerExpectedTime), 64)
	if err != nil || !(millis > 0) || millis > float64(maxExpectedTime/time.Millisecond) {
		return 0
	}
	return time.Duration(millis * float64(time.Millisecond))
}

// expectedTime returns the expected time to report, or zero if the gate is not adaptive.
func expectedTime(e admitter.Estimate) time.Duration {
	if !e.HasExpected {
		return 0
	}
	return e.Expected
}
