package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var (
	// linkPattern matches the target of a Markdown link, codePattern inline code.
	linkPattern = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	codePattern = regexp.MustCompile("`([^`\n]+)`")
	// filePattern matches file names, pathPattern paths relative to the root.
	filePattern = regexp.MustCompile(`^[\w./*-]+\.(go|md|csv|svg|txt|proto)$`)
	pathPattern = regexp.MustCompile(`^(internal|pkg|cmd|scripts|docs|\.ci)/[\w./*-]+$`)
	// testPattern matches the name of a test, fuzz test or benchmark.
	testPattern = regexp.MustCompile(`^(Test|Fuzz|Benchmark)[A-Z]\w*$`)
	// namePattern matches a package name and an exported identifier, such as http.Transport.
	namePattern = regexp.MustCompile(`^([a-z]\w*)\.([A-Z]\w*)$`)
	// funcPattern matches the declaration of a test, fuzz test or benchmark.
	funcPattern = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)\w+)\(`)
)

// repository indexes the files and identifiers that the documentation may refer to.
type repository struct {
	// files are the paths of all files and folders, relative to the root.
	files map[string]bool
	// tests are the names of all tests, fuzz tests and benchmarks.
	tests map[string]bool
	// pages are the paths of all Markdown files.
	pages []string
	// code maps the path of each Go file that is not a test to its content.
	code map[string]string
}

func readRepository(t *testing.T) repository {
	t.Helper()
	repo := repository{
		files: map[string]bool{},
		tests: map[string]bool{},
		code:  map[string]string{},
	}
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (path == ".git" || path == "bin") {
			return filepath.SkipDir
		}
		repo.files[path] = true
		if strings.HasSuffix(path, ".md") {
			repo.pages = append(repo.pages, path)
		}
		if strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			repo.code[path] = readFile(t, path)
		}
		if !strings.HasSuffix(path, "_test.go") {
			return nil
		}
		for _, match := range funcPattern.FindAllStringSubmatch(readFile(t, path), -1) {
			repo.tests[match[1]] = true
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return repo
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

// fileExists reports whether a path exists relative to the root or, since pages shorten paths, to a folder of
// packages. A file name without a folder matches a file in any folder.
func (r repository) fileExists(path string) bool {
	for _, prefix := range []string{"", "internal/", "internal/emulator/", "pkg/"} {
		if matches, _ := filepath.Glob(prefix + path); len(matches) > 0 {
			return true
		}
	}
	if strings.Contains(path, "/") {
		return false
	}
	for file := range r.files {
		if filepath.Base(file) == path {
			return true
		}
	}
	return false
}

// resolves reports whether a word of a page refers to something that exists, or is not a reference of a kind that is
// checked: a file, a test or an exported identifier.
func (r repository) resolves(word string) bool {
	switch name := namePattern.FindStringSubmatch(word); {
	case filePattern.MatchString(word) || pathPattern.MatchString(word):
		return r.fileExists(word)
	case testPattern.MatchString(word):
		return r.tests[word]
	case name != nil:
		return slices.Contains(externalPackages, name[1]) || r.packageContains(name[1], name[2])
	}
	return true
}

// externalPackages are the packages outside this module that the pages refer to.
var externalPackages = []string{"errors", "fmt", "http", "httptrace"}

// packageContains reports whether a word occurs in the code of a package of this module.
func (r repository) packageContains(name, word string) bool {
	pattern := regexp.MustCompile(`\b` + word + `\b`)
	for file, code := range r.code {
		if filepath.Base(filepath.Dir(file)) == name && pattern.MatchString(code) {
			return true
		}
	}
	return false
}

// brokenReferences returns the links, files, tests and identifiers of a page that do not exist.
func (r repository) brokenReferences(page, text string) []string {
	var broken []string
	for _, match := range linkPattern.FindAllStringSubmatch(text, -1) {
		target, _, _ := strings.Cut(match[1], "#")
		if target == "" || strings.Contains(target, "://") {
			continue
		}
		if !r.files[filepath.Join(filepath.Dir(page), target)] {
			broken = append(broken, page+": link "+match[1])
		}
	}
	for _, match := range codePattern.FindAllStringSubmatch(text, -1) {
		for _, word := range strings.Fields(match[1]) {
			word = strings.Trim(strings.TrimPrefix(word, "./"), "/,;:")
			if !r.resolves(word) {
				broken = append(broken, page+": "+word)
			}
		}
	}
	return broken
}

// TestPagesNameOnlyWhatExists checks that the links, files, tests and identifiers in all Markdown pages exist.
func TestPagesNameOnlyWhatExists(t *testing.T) {
	repo := readRepository(t)
	for _, page := range repo.pages {
		for _, name := range repo.brokenReferences(page, readFile(t, page)) {
			t.Error(name)
		}
	}
}

// TestMissingNamesAreFound checks that brokenReferences reports exactly the broken references of a page. Without it,
// TestPagesNameOnlyWhatExists could pass because it recognises no reference.
func TestMissingNamesAreFound(t *testing.T) {
	is := is.New(t)
	repo := readRepository(t)
	text := "[a](no.md) [b](README.md#part) [c](https://example.com/no.md) `no.go` `main.go` `server/no.go` " +
		"`internal/no` `scripts/measure --only no` `TestNothing` `TestMissingNamesAreFound` `http.Transport` " +
		"`app.New` `app.Nothing` `nothing.New`"
	is.Equal(repo.brokenReferences("page.md", text), []string{
		"page.md: link no.md",
		"page.md: no.go",
		"page.md: server/no.go",
		"page.md: internal/no",
		"page.md: TestNothing",
		"page.md: app.Nothing",
		"page.md: nothing.New",
	})
}

// TestArchitectureNamesEveryPackage checks that the table of packages in docs/ARCHITECTURE.md lists each folder of
// internal and pkg.
func TestArchitectureNamesEveryPackage(t *testing.T) {
	page := readFile(t, "docs/ARCHITECTURE.md")
	for _, folder := range []string{"internal", "pkg"} {
		entries, err := os.ReadDir(folder)
		if err != nil {
			t.Fatal(err)
		}
		for _, entry := range entries {
			path := folder + "/" + entry.Name()
			if !strings.Contains(page, "| `"+path+"` |") && !strings.Contains(page, "| `"+path+"/*` |") {
				t.Error(path)
			}
		}
	}
}
