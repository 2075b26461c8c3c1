package router

import "github.com/VictoriaMetrics/metrics"

// Requests with prompt parts that were sent to the home of the prompt, and past it because of its load.
var (
	evenKept  = metrics.NewCounter(`buckthorngap_router_prompts_total{home="kept"}`)
	evenMoved = metrics.NewCounter(`buckthorngap_router_prompts_total{home="moved"}`)
)
