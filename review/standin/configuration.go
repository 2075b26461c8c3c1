package main

// modelNames are the models of the configuration.
var modelNames = []string{
	modelName, "rada7437b5", "ravo486f6a", "nymi57a71f", "gopu49ded4", "base151689", "xada684e3e", "nyti185f3", "puvo87bda8", "davo3f55d",
	"baje902d12", "kade1464c7", "pubo309c7c", "nywu8d431", "dahu170be6", "govo89439b", "jera397b50", "wuye19b305",
}

// configuration returns a configuration with one route to model engines and one to plain servers.
func configuration(version int) map[string]any {
	models := []map[string]any{}
	for _, name := range modelNames {
		models = append(models, map[string]any{
			"name": name, "mb": 65100.0, "load_s": 6.1, "adapters": adapterCount, "adapter_mb": 12.0, "warm_s": 0.57, "disk_s": 1.5,
		})
	}
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{
				"name": "r-chat", "host": hostName, "prefix": "/chat/", "route_type": "streaming", "timeout_ms": 15000, "goal_ms": 400,
				"priority": 0, "service": "llm", "max_attempts": 1, "public": true, "sticky": true, "can_resume": false, "gap_target_ms": 300,
			},
			{
				"name": "r-night", "host": hostName, "prefix": "/night/", "route_type": "streaming", "timeout_ms": 25000, "goal_ms": 4000,
				"priority": 1, "service": "llm", "max_attempts": 2, "public": true, "sticky": true, "can_resume": true, "gap_target_ms": 300,
			},
			{
				"name": "r-desk", "host": hostName, "prefix": "/desk/", "route_type": "idempotent", "timeout_ms": 2000, "goal_ms": 150,
				"priority": 2, "service": "desk", "max_attempts": 2, "public": true, "sticky": false, "can_resume": false, "gap_target_ms": 0,
			},
			{
				"name": "r-root", "host": "root.example", "prefix": "/", "route_type": "idempotent", "timeout_ms": 2000, "goal_ms": 150,
				"priority": 2, "service": "desk", "max_attempts": 2, "public": true, "sticky": false, "can_resume": false, "gap_target_ms": 0,
			},
		},
		"services": []map[string]any{
			{
				"name": "llm", "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": engineSlots, "kv_capacity_tokens": 255614, "kv_token_bytes": 163840, "link_mbps": 370000.0, "moves": true,
					"backups": true, "stride": 4, "cap": 12, "host_mb": 150000.0, "disk_mb": 530000.0, "pin_ms": 4000.0, "hold_ms": 2000.0,
					"handle_s": 5.0, "mb": 160000.0, "adapter_slots": adapterSlots, "loads_per_s": 2.8,
					"models": models,
				},
			},
			{"name": "desk", "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{},
	}
}
