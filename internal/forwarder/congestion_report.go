package forwarder

import (
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/admitter"
	"github.com/lavenderhub/lavenderhub/internal/announcer"
	"github.com/lavenderhub/lavenderhub/internal/retrier"
)

// congestionReport is the congestion of a service as a response carries it, with its age in place of a time.
type congestionReport struct {
	service string
	value   float64
	age     time.Duration
}

// newCongestionReport returns the higher one of the gate's own congestion and of those that came with the responses to the
// local upstream's calls.
func (f *Forwarder) newCongestionReport(up *announcer.Upstream, gate admitter.Report, now time.Time) congestionReport {
	highest := retrier.Congestion{Service: up.Service, Value: gate.Congestion, At: now}
	if nested := f.nestedCongestions.Highest(now); nested.Current(now) >= highest.Value {
		highest = nested
	}
	return congestionReport{service: highest.Service, value: highest.Value, age: now.Sub(highest.At)}
}

// congestion returns the reported congestion as it was measured.
func (r congestionReport) congestion(now time.Time) retrier.Congestion {
	if r.value <= 0 {
		return retrier.Congestion{}
	}
	return retrier.Congestion{Service: r.service, Value: r.value, At: now.Add(-r.age)}
}

// write sets the response header: the value in hundredths, the age in milliseconds and the service. Without congestion
// there is none, since bytes between failure domains are expensive.
func (r congestionReport) write(h http.Header) {
	hundredths := int(math.Round(r.value * 100))
	if hundredths <= 0 {
		return
	}
	h.Set(headerCongestion, strconv.Itoa(hundredths)+","+strconv.FormatInt(r.age.Milliseconds(), 10)+","+url.PathEscape(r.service))
}

// readCongestion reads the response header. It returns the zero value if there is none or it is invalid.
func readCongestion(h http.Header) congestionReport {
	text := h.Get(headerCongestion)
	if text == "" {
		return congestionReport{}
	}
	value, rest, _ := strings.Cut(text, ",")
	age, service, _ := strings.Cut(rest, ",")
	hundredths, valueErr := strconv.ParseUint(value, 10, 8)
	millis, ageErr := strconv.ParseUint(age, 10, 31)
	service, err := url.PathUnescape(service)
	if valueErr != nil || ageErr != nil || err != nil || service == "" || hundredths > 100 {
		return congestionReport{}
	}
	return congestionReport{service: service, value: float64(hundredths) / 100, age: time.Duration(millis) * time.Millisecond}
}
