package placer

import "github.com/VictoriaMetrics/metrics"

var (
	decisionSeconds = metrics.NewHistogram("buckthorngap_placer_decision_seconds")
	ordersSent      = metrics.NewCounter("buckthorngap_placer_orders_total")
	ordersWithheld  = metrics.NewCounter("buckthorngap_placer_orders_withheld_total")
	ordersFailed    = metrics.NewCounter("buckthorngap_placer_orders_failed_total")
	ledgerWrites    = metrics.NewCounter("buckthorngap_placer_ledger_writes_total")
	ledgerFailures  = metrics.NewCounter("buckthorngap_placer_ledger_failures_total")
)
