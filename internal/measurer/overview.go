package measurer

import (
	"fmt"
	"slices"
	"strings"
)

const (
	overviewHeading = "## The four measures"
	overviewTable   = "| measure | user's size | faults | product | earlier run | baselines in the same run | part |\n" +
		"|---|---|---|---|---|---|---|\n"
	// emptyCell is the text of a cell without a value.
	emptyCell = "–"
)

// overviewNotes is the text below the table; it explains what the table does not show.
const overviewNotes = `Both users have 7 instances and 5 teams, so the parts about teams stand for both. Faults of cold starts: an engine dies
each 5 minutes and comes back empty, and the weight store has half its speed for a quarter of the time; the least
possible is that of a store at full speed. Faults of teams: an instance freezes, another is killed, a failure domain is
cut off. Idle hours saved at equal p99 are not measured with faults. Savings far below zero come from idle hours near
zero. A part's figures are of the date that stands with them below.
`

// overview returns the section with the table of the four measures, extracted
// from the parts' results.
func (p *page) overview() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s\n\n%s", overviewHeading, overviewTable)
	for _, c := range comparisons() {
		results := p.partByName(c.part)
		for _, r := range c.rows(results.latest.lines) {
			fmt.Fprintf(&text, "| %s | %s | %s | %s | %s | %s | %s |\n", c.measure, r.site, yesNo(r.faults),
				cellText(r.product), cellText(c.earlierValue(results.earlier.lines, r)), cellText(strings.Join(r.baselines, "; ")), c.part)
		}
	}
	text.WriteString("\n" + overviewNotes)
	return text.String()
}

// part returns a part by name, or an empty part if there is none.
func (p *page) partByName(name string) part {
	index := slices.IndexFunc(p.parts, func(candidate part) bool { return candidate.name == name })
	if index < 0 {
		return part{}
	}
	return p.parts[index]
}

// cellText returns the text of a cell with a value, which may be empty.
func cellText(value string) string {
	if value == "" {
		return emptyCell
	}
	return value
}

func yesNo(faults string) string {
	if faults == "true" {
		return "yes"
	}
	return "no"
}
