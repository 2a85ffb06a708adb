package caller_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"mimosarelay/standin/engine"
)

// BenchmarkRelayOverhead sends the same streamed call alternately to the engine
// stand-in and through the relay, and reports the difference between the
// latencies. The goal is at most 150 µs at the median and 1 ms at the 99th
// percentile.
func BenchmarkRelayOverhead(b *testing.B) {
	h := newHarness(b, engine.Options{})
	body := []byte(chatBody("overhead", true))
	direct := hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3)
	relayed := hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3)
	targets := []struct {
		url       string
		latencies *hdrhistogram.Histogram
	}{
		{"http://" + h.engines[0].Address(), direct},
		{h.url, relayed},
	}
	n := 0
	for b.Loop() {
		n++
		for _, t := range targets {
			start := time.Now()
			sendOnce(b, t.url, h.key, body, n)
			assert.NilError(b, t.latencies.RecordValue(time.Since(start).Microseconds()))
		}
	}
	for _, q := range []float64{50, 99} {
		b.ReportMetric(float64(direct.ValueAtQuantile(q)), fmt.Sprintf("direct-p%g-us", q))
		b.ReportMetric(float64(relayed.ValueAtQuantile(q)), fmt.Sprintf("relayed-p%g-us", q))
		b.ReportMetric(float64(relayed.ValueAtQuantile(q)-direct.ValueAtQuantile(q)), fmt.Sprintf("added-p%g-us", q))
	}
}

// sendOnce sends a streamed call and reads the answer to its end.
func sendOnce(b *testing.B, url, key string, body []byte, n int) {
	b.Helper()
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
	assert.NilError(b, err)
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("X-Request-Id", fmt.Sprintf("direct-%d", n))
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(b, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(b, resp.StatusCode, http.StatusOK)
	_, err = io.Copy(io.Discard, bufio.NewReader(resp.Body))
	assert.NilError(b, err)
}
