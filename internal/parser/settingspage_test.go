package parser_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"go/ast"
	goparser "go/parser"
	"go/token"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/parser"
)

var update = flag.Bool("update", false, "rewrite docs/SETTINGS.md")

const settingsPage = "../../docs/SETTINGS.md"

// TestDocumentMatchesSettings fails if docs/SETTINGS.md differs from the comments
// and defaults in settings.go. Run it with -update to regenerate the page.
func TestDocumentMatchesSettings(t *testing.T) {
	is := is.New(t)
	tree, err := goparser.ParseFile(token.NewFileSet(), "settings.go", nil, goparser.ParseComments)
	is.NoErr(err)
	var page strings.Builder
	page.WriteString("# Settings\n\nEach instance has one file in JSON with comments; `buckthorngap check --settings FILE` validates it.\n" +
		"Unknown fields and invalid values are rejected with file, line and field before the instance opens any listener.\n" +
		"Durations are written as in \"1.5s\". Certificates and keys are given as paths of files and never logged.\n\n" +
		"| field | meaning | default |\n|---|---|---|\n")
	writeRows(&page, fieldComments(tree), "", reflect.ValueOf(parser.Default()))
	if *update {
		is.NoErr(os.WriteFile(settingsPage, []byte(page.String()), 0o644))
	}
	committed, err := os.ReadFile(settingsPage)
	is.NoErr(err)
	is.Equal(string(committed), page.String())
}

// fieldComments returns the doc comments of struct fields by "Type.Field", each on one
// line.
func fieldComments(tree *ast.File) map[string]string {
	comments := map[string]string{}
	ast.Inspect(tree, func(node ast.Node) bool {
		spec, ok := node.(*ast.TypeSpec)
		if !ok {
			return true
		}
		if structure, ok := spec.Type.(*ast.StructType); ok {
			for _, field := range structure.Fields.List {
				comments[spec.Name.Name+"."+field.Names[0].Name] = strings.Join(strings.Fields(field.Doc.Text()), " ")
			}
		}
		return true
	})
	return comments
}

// writeRows writes a table row for each setting and recurses into sections.
func writeRows(page *strings.Builder, comments map[string]string, path string, value reflect.Value) {
	for index := range value.NumField() {
		field := value.Type().Field(index)
		name := path + field.Tag.Get("json")
		if value.Field(index).Kind() == reflect.Struct && field.Type.PkgPath() == value.Type().PkgPath() && field.Type.Name() != "Duration" {
			writeRows(page, comments, name+".", value.Field(index))
			continue
		}
		defaultValue, _ := json.Marshal(value.Field(index).Interface())
		fmt.Fprintf(page, "| `%s` | %s | `%s` |\n", name, comments[value.Type().Name()+"."+field.Name], defaultValue)
	}
}
