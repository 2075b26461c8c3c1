package measurer

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"
	"strings"
)

// The headings and markers of a page. People read the page, and the next run
// parses it and keeps its latest results as the earlier ones.
const (
	pageTitle    = "# Measures"
	partsHeading = "## Parts"
	partHeading  = "### "
	latestMark   = "Latest run: `"
	earlierMark  = "Earlier run: `"
	markEnd      = "`"
	fence        = "```"
)

// introduction is the page's first text, which explains how to read it.
const introduction = `Written by ` + "`scripts/measure`" + `, which measures most parts within 5 minutes: duties run only with ` + "`--only`" + `, and
prewarming and worstseeds are whole only so. ` + "`--short`" + ` measures the four measures briefly. Each line is one result;
baselines stand beside the product in the same run. A part that a run leaves out keeps the figures, date and command of its last
run, and each part keeps those of the run before. ` + "`load`" + ` is the machine's load average over a minute when the part
began: above the number of cores, other work shared the machine, and timed figures are those of a busy machine.
`

// pageMode is the file mode of the page, which everybody may read.
const pageMode = 0o644

// page holds the results of all parts.
type page struct {
	parts []part
}

// readPage reads the results of previous runs; a missing file yields an empty page.
func readPage(file string) (*page, error) {
	data, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return &page{}, nil
	}
	if err != nil {
		return nil, err
	}
	return parsePage(string(data)), nil
}

// parsePage extracts the parts from the text of a page; sections without a title are skipped.
func parsePage(text string) *page {
	p := &page{}
	_, text, _ = strings.Cut(text, partsHeading+"\n")
	for section := range strings.SplitSeq("\n"+text, "\n"+partHeading) {
		heading, body, _ := strings.Cut(section, "\n")
		name, title, found := strings.Cut(heading, ": ")
		if !found {
			continue
		}
		p.parts = append(p.parts, part{
			name:    name,
			title:   title,
			latest:  parseRecord(body, latestMark),
			earlier: parseRecord(body, earlierMark),
		})
	}
	return p
}

// parseRecord extracts the record that follows a marker, or returns an empty one.
func parseRecord(body, mark string) record {
	_, rest, _ := strings.Cut("\n"+body, "\n"+mark)
	command, rest, _ := strings.Cut(rest, markEnd+"\n")
	_, rest, _ = strings.Cut(rest, fence+"\n")
	lines, _, _ := strings.Cut(rest, fence)
	return record{
		command: command,
		lines:   lines,
	}
}

// addRun sets the latest result of a part and keeps the previous one as the
// earlier result.
func (p *page) addRun(name, title string, run record) {
	index := slices.IndexFunc(p.parts, func(updated part) bool { return updated.name == name })
	if index < 0 {
		index = len(p.parts)
		p.parts = append(p.parts, part{
			name: name,
		})
	}
	updated := &p.parts[index]
	updated.title = title
	updated.earlier = updated.latest
	updated.latest = run
}

// sortParts orders the parts as in a list of names; parts that are not listed go to the end.
func (p *page) sortParts(names []string) {
	rank := func(listed part) int {
		if index := slices.Index(names, listed.name); index >= 0 {
			return index
		}
		return len(names)
	}
	slices.SortStableFunc(p.parts, func(a, b part) int { return rank(a) - rank(b) })
}

func (p *page) write(file string) error {
	return os.WriteFile(file, []byte(p.text()), pageMode)
}

// text returns the page in Markdown.
func (p *page) text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s\n\n%s\n%s\n%s\n", pageTitle, introduction, p.overview(), partsHeading)
	for i := range p.parts {
		current := &p.parts[i]
		fmt.Fprintf(&text, "\n%s%s: %s\n", partHeading, current.name, current.title)
		current.latest.print(&text, latestMark)
		current.earlier.print(&text, earlierMark)
	}
	return text.String()
}

// print writes a record unless it is empty.
func (r *record) print(text *strings.Builder, mark string) {
	if r.command == "" {
		return
	}
	fmt.Fprintf(text, "\n%s%s%s\n\n%s\n%s%s\n", mark, r.command, markEnd, fence, r.lines, fence)
}
