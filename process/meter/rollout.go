package meter

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"mulberrybeam"
)

// WatchRollouts exports the counts that report returns: the responses of this
// process's requests by service, version and outcome, the evidence that rollouts
// are judged by. The counts of a service start again with each order.
func (m *Meter) WatchRollouts(report func() []mulberrybeam.RolloutReport) error {
	_, err := m.meter.Int64ObservableCounter("mulberrybeam.rollout-responses",
		metric.WithDescription("Responses during rollouts by service, version and outcome."),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			for _, rollout := range report() {
				m.observeRollout(observer, rollout)
			}
			return nil
		}))
	return err
}

func (m *Meter) observeRollout(observer metric.Int64Observer, rollout mulberrybeam.RolloutReport) {
	type series struct{ version, outcome string }
	sums := map[series]uint64{}
	for _, counts := range rollout.Counts {
		version := "old"
		if counts.New {
			version = "new"
		}
		sums[series{version, "failed"}] += counts.Failures
		sums[series{version, "answered"}] += counts.Responses - counts.Failures
	}
	for key, sum := range sums {
		observer.Observe(int64(sum), m.attributes(
			attribute.String("service", string(rollout.Service)), attribute.String("version", key.version), attribute.String("outcome", key.outcome)))
	}
}
