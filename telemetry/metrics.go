package telemetry

import (
	"context"
	"fmt"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"

	"foxtaildock.example/dock/ident"
)

// meterName is the instrumentation scope of all metrics.
const meterName = "foxtaildock.example/dock"

// Metrics is the meter provider of one process and its Prometheus exporter.
type Metrics struct {
	provider *sdkmetric.MeterProvider
	registry *prometheus.Registry
}

// NewMetrics creates the metrics of the process. Role, failure domain and incarnation
// are attributes of the target_info metric. It returns an error if the Prometheus
// exporter can't be created.
func NewMetrics(role Role, domain ident.FailureDomain, self ident.Incarnation) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry), otelprometheus.WithoutScopeInfo())
	if err != nil {
		return nil, fmt.Errorf("starting the Prometheus exporter: %w", err)
	}
	provider := sdkmetric.NewMeterProvider(
		sdkmetric.WithReader(exporter),
		sdkmetric.WithResource(processResource(role, domain, self)),
	)
	return &Metrics{provider: provider, registry: registry}, nil
}

func processResource(role Role, domain ident.FailureDomain, self ident.Incarnation) *resource.Resource {
	return resource.NewSchemaless(
		attribute.String("service.name", "foxtaildock"),
		attribute.String("service.instance.id", string(self)),
		attribute.String("role", string(role)),
		attribute.String("failure_domain", string(domain)),
	)
}

// Meter returns the meter that creates the instruments of the process.
func (m *Metrics) Meter() metric.Meter { return m.provider.Meter(meterName) }

// Shutdown stops the meter provider. Its error is that of the provider.
func (m *Metrics) Shutdown(ctx context.Context) error { return m.provider.Shutdown(ctx) }

// scrapeHandler serves the metrics in the Prometheus text format.
func (m *Metrics) scrapeHandler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
