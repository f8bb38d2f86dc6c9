package relay

import (
	"testing"
	"testing/synctest"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/streamorigin"
)

// Guards against refusals of resumed streams that logs and metrics can't tell apart.
func TestRefusedResumptionsAreToldApart(t *testing.T) {
	known := streamorigin.Origin{Service: "s", Software: "v1"}
	for cause, row := range map[refusalCause]struct {
		began     *streamorigin.Origin
		software  string // that all endpoints run
		estimated int    // tokens of the answer
	}{
		causeUnknownOrigin: {software: "v1"},
		causeMovedRoute:    {began: &streamorigin.Origin{Service: "other", Software: "v1"}, software: "v1"},
		causeNoVersion:     {began: &known, software: "v2"},
		causeNoRoom:        {began: &known, software: "v1", estimated: 40},
		causeNoTime:        {began: &known, software: "v1", estimated: 100_000},
	} {
		t.Run(string(cause), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(stream).withModel()
				fx.route.Resumable = true
				for _, e := range fx.view.Endpoints["s"] {
					e.Software = row.software
				}
				fx.router.options.Allocator = fullHome{}
				fx.router.metrics = newMetrics(prometheus.NewRegistry())
				if row.began != nil {
					fx.began("x0", *row.began)
				}
				x := newModelExchange()
				x.LastEventID, x.Resumes = "2", "x0"
				x.Prompt.EstimatedOutput, x.Prompt.MaxOutput = row.estimated, row.estimated
				_, refusal := fx.serve(t, x)
				assert.Assert(t, refusal != nil)
				assert.Equal(t, testutil.ToFloat64(fx.router.metrics.refusedResumptions.WithLabelValues(string(cause))), 1.0, refusal.Reason)
			})
		})
	}
}
