package main

// key is the API key of the only tenant.
const key = "i9n73hh2b9wu3fexd9dn"

// route returns a streaming route for the model engines, like those of the users' small deployments.
func streamRoute(name, prefix string, timeoutMs, goalMs int) map[string]any {
	return map[string]any{
		"name": name, "host": "site.example", "prefix": prefix, "route_type": "streaming", "timeout_ms": timeoutMs, "goal_ms": goalMs,
		"priority": 0, "service": "llm", "max_attempts": 1, "public": false, "sticky": true, "can_resume": false, "gap_target_ms": 300,
	}
}

// configuration returns an operator's configuration with one service of model engines, which has one model.
func configuration(routes ...any) map[string]any {
	return map[string]any{
		"version": 7,
		"routes":  routes,
		"services": []any{map[string]any{
			"name": "llm", "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kv_capacity_tokens": 262987, "kv_token_bytes": 163840, "link_mbps": 370000.0, "host_mb": 150000.0, "disk_mb": 530000.0,
				"models": []any{model("m1")},
				"mb":     230000.0, "adapter_slots": 8, "loads_per_s": 3.1,
			},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{
			"name": "t1", "api_keys": []string{key}, "priority": 1, "unit": "token_stream", "plain_tokens": 200, "rate_per_s": 900000, "burst": 900000,
		}},
	}
}

// model returns a model of the configuration.
func model(name string) map[string]any {
	return map[string]any{"name": name, "mb": 65100.0, "load_s": 6.0, "adapters": 0, "adapter_mb": 12.0, "warm_s": 0.57, "disk_s": 1.5}
}

// engineEntry returns the entry of a model engine that holds the model.
func engineEntry(address string) map[string]any {
	return map[string]any{
		"service": "llm", "address": address, "zone": "z-a", "version": "v1", "slots": 64, "state": "ready", "cold_left_ms": 0,
		"stage": "both", "models": []any{map[string]any{"name": "m1", "version": 1, "adapters": []string{}}},
	}
}

// modelHeader returns the header of a request to the model.
func modelHeader(id string, deadlineMs string) map[string]string {
	return map[string]string{
		"Request-Id": id, "Model": "m1", "Token-Count": "100,20", "Prompt-Prefix": "5c1e07a2:80," + id + ":20", "Deadline-Ms": deadlineMs, "X-Api-Key": key,
	}
}

// report is what the engine says of itself.
const report = `{"stage":"both","models":[{"name":"m1","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"running":0,"kv_used":0,"kv_total":262987,"handles":0}`
