package metrics_test

import (
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/meter"
	"github.com/mulberrylane/mulberrylane/process/metrics"
)

func TestMetrics_ServedInPrometheusFormat(t *testing.T) {
	m, err := metrics.New("entry-1")
	assert.NilError(t, err)
	m.RecordAttempt(metrics.ReasonResume, 120)
	m.RecordResume(300 * time.Millisecond)
	m.RecordRequestEnd(60, fault.Overloaded, "no")
	assert.NilError(t, m.RegisterGauges(meter.Gauge{Name: "mulberrylane.revision", Description: "Revision in force", Read: func() int64 { return 7 }}))
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), "GET", "/metrics", nil))
	text, err := io.ReadAll(recorder.Body)
	assert.NilError(t, err)
	for _, line := range []string{
		`mulberrylane_attempts_total{`, `reason="resume"`, `kind="overloaded"`, `was_run="no"`,
		"mulberrylane_extra_prompt_tokens_total", "mulberrylane_revision", "process_cpu_seconds_total",
		"mulberrylane_resume_latency_seconds_bucket",
	} {
		assert.Assert(t, strings.Contains(string(text), line), "%s is missing in\n%s", line, text)
	}
	var disabled *metrics.Metrics
	disabled.RecordAttempt(metrics.ReasonFirst, 0)
	disabled.RecordRequestEnd(1, fault.None, "yes")
}
