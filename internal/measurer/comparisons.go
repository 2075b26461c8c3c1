package measurer

import (
	"fmt"
	"strconv"
)

// comparisons returns the comparisons for the four measures that users care
// about. The bounds in their names come from the target.
func comparisons() []comparison {
	return append(loadingComparisons(), sharingComparisons()...)
}

// loadingComparisons returns the comparisons of cold starts, waits and idle accelerators.
func loadingComparisons() []comparison {
	coldStarts := placementRows([]string{"coldp99", "ratio"}, func(values figures) string {
		return values["coldp99"] + " s, " + values["ratio"] + " ×"
	})
	waits := placementRows([]string{"p99", "idlehours"}, func(values figures) string { return values["p99"] + " s" })
	idle := placementRows([]string{"idlehours"}, func(values figures) string { return values["idlehours"] })
	return []comparison{
		{
			measure: "tail cold start: p99 and its multiple of the least possible (bound 1.25 ×)",
			part:    "coldstart",
			rows:    coldStarts.rows,
		},
		{
			measure: "wait for a copy: p99 of all requests",
			part:    "coldstart",
			rows:    waits.rows,
		},
		{
			measure: "idle accelerator hours at one keep-warm time",
			part:    "coldstart",
			rows:    idle.rows,
		},
		{
			measure: "part of idle accelerator hours saved against eviction by age at equal p99 of all requests (bound 0.30)",
			part:    "coldstart",
			rows:    savings,
		},
	}
}

// sharingComparisons returns the comparisons of teams' fair shares and of refusals inside the rate.
func sharingComparisons() []comparison {
	share := limitModeRows("worst_share", unchanged)
	served := limitModeRows("worst_served", unchanged)
	refused := limitModeRows("inside_refused_percent", func(value string) string { return value + " %" })
	refusedPart := limitModeRows("refused_inside_rate", percent)
	return []comparison{
		{
			measure: "worst-served team: part of its fair share, processes (bound 0.95)",
			part:    "sharing",
			rows:    share.rows,
		},
		{
			measure: "worst-served team: part of its fair share, one process (bound 0.95)",
			part:    "admitting",
			rows:    served.rows,
		},
		{
			measure: "refusals inside the rate, processes (bound 0.1 %)",
			part:    "sharing",
			rows:    refused.rows,
		},
		{
			measure: "refusals inside the rate, one process (bound 0.1 %)",
			part:    "admitting",
			rows:    refusedPart.rows,
		},
	}
}

// placementRows returns a builder of rows that compare the variants of model placement.
func placementRows(keys []string, show func(values figures) string) *rowBuilder {
	return &rowBuilder{
		variant: "variant",
		product: "product",
		keys:    keys,
		show:    show,
	}
}

// limitModeRows returns a builder of rows that compare one value between the modes of dividing teams' rates.
func limitModeRows(key string, show func(value string) string) *rowBuilder {
	return &rowBuilder{
		variant: "mode",
		product: "loans",
		keys:    []string{key},
		show:    func(values figures) string { return show(values[key]) },
	}
}

func unchanged(value string) string { return value }

// percent formats a fraction as a percentage; text that is no number is returned unchanged.
func percent(fraction string) string {
	value, err := strconv.ParseFloat(fraction, 64)
	if err != nil {
		return fraction
	}
	return fmt.Sprintf("%.3f %%", 100*value)
}
