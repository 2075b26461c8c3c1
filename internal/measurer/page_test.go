package measurer

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// addRuns adds one run of several parts, all with the same results, and writes the page.
func addRuns(t *testing.T, file, command, lines string, parts ...string) {
	t.Helper()
	is := is.New(t)
	p, err := readPage(file)
	is.NoErr(err)
	for _, name := range parts {
		p.addRun(name, "The part "+name, record{
			command: command,
			lines:   lines,
		})
	}
	p.sortParts([]string{"first", "second", "third"})
	is.NoErr(p.write(file))
}

func TestPageKeepsTheEarlierRunOfEachPart(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "page.md")
	addRuns(t, file, `date=1 command="scripts/measure"`, "a=1\nb=1\n", "first", "second")
	addRuns(t, file, `date=2 command="scripts/measure --only second"`, "a=2\nb=2\n", "second")
	addRuns(t, file, `date=3 command="scripts/measure --only third"`, "a=3\n", "third")
	p, err := readPage(file)
	is.NoErr(err)
	is.Equal(p.parts, []part{
		{
			name:  "first",
			title: "The part first",
			latest: record{
				command: `date=1 command="scripts/measure"`,
				lines:   "a=1\nb=1\n",
			},
		},
		{
			name:  "second",
			title: "The part second",
			latest: record{
				command: `date=2 command="scripts/measure --only second"`,
				lines:   "a=2\nb=2\n",
			},
			earlier: record{
				command: `date=1 command="scripts/measure"`,
				lines:   "a=1\nb=1\n",
			},
		},
		{
			name:  "third",
			title: "The part third",
			latest: record{
				command: `date=3 command="scripts/measure --only third"`,
				lines:   "a=3\n",
			},
		},
	})
}

func TestPageShowsNoEmptyRun(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "page.md")
	addRuns(t, file, "date=1", "a=1\n", "first")
	data, err := os.ReadFile(file)
	is.NoErr(err)
	is.True(strings.Contains(string(data), "Latest run: `date=1`\n\n```\na=1\n```\n"))
	is.True(!strings.Contains(string(data), "Earlier run"))
	is.True(!strings.Contains(string(data), "``\n\n```"))
}

func TestPageOrdersParts(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "page.md")
	addRuns(t, file, "date=1", "a=1\n", "gone", "third")
	addRuns(t, file, "date=2", "a=2\n", "first")
	p, err := readPage(file)
	is.NoErr(err)
	var order []string
	for _, ordered := range p.parts {
		order = append(order, ordered.name)
	}
	is.Equal(order, []string{"first", "third", "gone"})
}

func TestPageThatCannotBeReadIsNotOverwritten(t *testing.T) {
	is := is.New(t)
	_, err := readPage(t.TempDir())
	is.True(err != nil)
}

// TestOverviewShowsTheFourMeasures compares the rows of the overview for fixed
// results: values missing in the earlier run or without baselines show a dash.
func TestOverviewShowsTheFourMeasures(t *testing.T) {
	is := is.New(t)
	p := &page{}
	p.addRun("coldstart", "", record{
		command: "date=1",
		lines:   "site=kreti variant=product coldp99=17.00 ratio=1.10 p99=12.00 idlehours=8.000\n",
	})
	p.addRun("coldstart", "", record{
		command: "date=2",
		lines: "site=kreti variant=product faults=false coldp99=16.12 ratio=1.02 p99=11.92 idlehours=7.400\n" +
			"site=kreti variant=age faults=false coldp99=19.50 ratio=1.01 p99=17.14 idlehours=3.100\n" +
			"site=kreti variant=product faults=true coldp99=40.00 ratio=2.00 p99=30.00 idlehours=6.000\n" +
			"site=kreti variant=age faults=true coldp99=50.00 ratio=2.50 p99=31.00 idlehours=5.000\n" +
			"site=kreti p99=17.33 saving=-12.47\n" +
			"site=kreti p99=15.00 saving=0.45\n" +
			"site=kreti p99=14.00 saving=0.33\n",
	})
	p.addRun("sharing", "", record{
		command: "date=2",
		lines: "sharing mode=loans faults=false inside_refused_percent=0.694 worst_share=0.924\n" +
			"sharing mode=equal faults=false inside_refused_percent=9.100 worst_share=0.600\n",
	})
	p.addRun("admitting", "", record{
		command: "date=2",
		lines: "mode=loans faults=true team=small refused=3\n" +
			"mode=loans faults=true over=0 refused_inside_rate=0.00050 worst_served=0.9801\n" +
			"mode=home faults=true over=0 refused_inside_rate=0.02000 worst_served=0.9000\n",
	})
	var rows []string
	for line := range strings.Lines(p.overview()) {
		if strings.HasPrefix(line, "| ") {
			rows = append(rows, strings.TrimSpace(line))
		}
	}
	is.Equal(rows, []string{
		"| measure | user's size | faults | product | earlier run | baselines in the same run | part |",
		"| tail cold start: p99 and its multiple of the least possible (bound 1.25 ×) | kreti | no | 16.12 s, 1.02 × | 17.00 s, 1.10 × | age 19.50 s, 1.01 × | coldstart |",
		"| tail cold start: p99 and its multiple of the least possible (bound 1.25 ×) | kreti | yes | 40.00 s, 2.00 × | – | age 50.00 s, 2.50 × | coldstart |",
		"| wait for a copy: p99 of all requests | kreti | no | 11.92 s | 12.00 s | age 17.14 s | coldstart |",
		"| wait for a copy: p99 of all requests | kreti | yes | 30.00 s | – | age 31.00 s | coldstart |",
		"| idle accelerator hours at one keep-warm time | kreti | no | 7.400 | 8.000 | age 3.100 | coldstart |",
		"| idle accelerator hours at one keep-warm time | kreti | yes | 6.000 | – | age 5.000 | coldstart |",
		"| part of idle accelerator hours saved against eviction by age at equal p99 of all requests (bound 0.30) | kreti | no | median 0.33, from -12.47 to 0.45 at 3 points | – | – | coldstart |",
		"| worst-served team: part of its fair share, processes (bound 0.95) | both | no | 0.924 | – | equal 0.600 | sharing |",
		"| worst-served team: part of its fair share, one process (bound 0.95) | both | yes | 0.9801 | – | home 0.9000 | admitting |",
		"| refusals inside the rate, processes (bound 0.1 %) | both | no | 0.694 % | – | equal 9.100 % | sharing |",
		"| refusals inside the rate, one process (bound 0.1 %) | both | yes | 0.050 % | – | home 2.000 % | admitting |",
	})
}
