// Package decoder decodes JSON with comments into structs. Member names are the
// kebab-case forms of the Go field names. It rejects unknown and duplicate names
// and reports all problems with their positions, not only the first one.
package decoder

import (
	"bytes"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// Problem is one error in a document.
type Problem struct {
	// Line and Column start at 1. Column counts bytes.
	Line   int
	Column int
	// Path is the path of the value, such as "regions[0].zones[1].name".
	Path string
	// Value is the invalid text, truncated.
	Value string
	// Allowed describes the valid values.
	Allowed string
}

// String returns the problem on one line.
func (p Problem) String() string {
	text := fmt.Sprintf("line %d, column %d: %s", p.Line, p.Column, p.Path)
	if p.Value != "" {
		text += " is " + p.Value
	}
	return text + "; allowed: " + p.Allowed
}

// Problems are all problems of a document, ordered by position.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Position is the position of a value in a document, with its truncated text.
type Position struct {
	Line   int
	Column int
	Text   string
}

// Document is a decoded value with the positions of its parts by path.
type Document[T any] struct {
	Value     T
	Positions map[string]Position
}

// Problem returns a problem for a path. If the document has no value there, the
// problem has the position of the nearest parent.
func (d Document[T]) Problem(path, allowed string) Problem {
	position, found := d.Positions[path]
	for parent := path; !found && parent != ""; {
		parent = parentOf(parent)
		position, found = d.Positions[parent]
	}
	value := position.Text
	if _, exact := d.Positions[path]; !exact {
		value = "missing"
	}
	return Problem{Line: position.Line, Column: position.Column, Path: path, Value: value, Allowed: allowed}
}

func parentOf(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

// Decode decodes a document into value, which holds the defaults. If the
// document is invalid, the error is a Problems.
func Decode[T any](data []byte, value T) (Document[T], error) {
	document := Document[T]{Value: value, Positions: map[string]Position{}}
	tree, err := hujson.Parse(data)
	if err != nil {
		return document, Problems{{Line: 1, Column: 1, Path: "document", Allowed: "JSON with comments (" + err.Error() + ")"}}
	}
	r := &documentReader{data: data, positions: document.Positions, lineOffsets: findLineOffsets(data)}
	r.read("", tree, reflect.ValueOf(&document.Value).Elem())
	if len(r.problems) > 0 {
		return document, r.problems
	}
	return document, nil
}

type documentReader struct {
	data []byte
	// lineOffsets has the byte offset of each line.
	lineOffsets []int
	positions   map[string]Position
	problems    Problems
}

func (r *documentReader) read(path string, value hujson.Value, into reflect.Value) {
	r.positions[path] = r.positionOf(value)
	if into.Type() == reflect.TypeFor[time.Duration]() {
		r.readDuration(path, value, into)
		return
	}
	switch into.Kind() {
	case reflect.Struct:
		r.readStruct(path, value, into)
	case reflect.Slice:
		r.readSlice(path, value, into)
	default:
		r.readLiteral(path, value, into)
	}
}

func (r *documentReader) readStruct(path string, value hujson.Value, into reflect.Value) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		r.addProblem(path, value, "an object")
		return
	}
	fields := map[string]reflect.Value{}
	names := make([]string, 0, into.NumField())
	for i := range into.NumField() {
		name := Kebab(into.Type().Field(i).Name)
		fields[name] = into.Field(i)
		names = append(names, name)
	}
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		field, known := fields[name]
		switch {
		case !known:
			r.addProblem(joinPath(path, name), member.Name, "one of "+strings.Join(names, ", "))
		case seen[name]:
			r.addProblem(joinPath(path, name), member.Name, "each name at most once")
		default:
			seen[name] = true
			r.read(joinPath(path, name), member.Value, field)
		}
	}
}

func (r *documentReader) readSlice(path string, value hujson.Value, into reflect.Value) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		r.addProblem(path, value, "an array")
		return
	}
	slice := reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements))
	for i, element := range array.Elements {
		r.read(fmt.Sprintf("%s[%d]", path, i), element, slice.Index(i))
	}
	into.Set(slice)
}

func (r *documentReader) readDuration(path string, value hujson.Value, into reflect.Value) {
	const allowed = `a duration such as "250ms", "30s" or "24h"`
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		r.addProblem(path, value, allowed)
		return
	}
	duration, err := time.ParseDuration(literal.String())
	if err != nil || duration < 0 {
		r.addProblem(path, value, allowed)
		return
	}
	into.SetInt(int64(duration))
}

func (r *documentReader) readLiteral(path string, value hujson.Value, into reflect.Value) {
	literal, _ := value.Value.(hujson.Literal)
	kind := hujson.Kind(0)
	if literal != nil {
		kind = literal.Kind()
	}
	switch {
	case into.Kind() == reflect.String && kind == '"':
		into.SetString(literal.String())
	case into.Kind() == reflect.Bool && (kind == 't' || kind == 'f'):
		into.SetBool(literal.Bool())
	case into.CanInt() && kind == '0' && !bytes.ContainsAny(literal, ".eE"):
		into.SetInt(literal.Int())
	case into.CanUint() && kind == '0' && !bytes.ContainsAny(literal, "-.eE"):
		into.SetUint(literal.Uint())
	case into.CanFloat() && kind == '0':
		into.SetFloat(literal.Float())
	default:
		r.addProblem(path, value, allowedType(into))
	}
}

func allowedType(into reflect.Value) string {
	switch {
	case into.Kind() == reflect.String:
		return "a string"
	case into.Kind() == reflect.Bool:
		return "true or false"
	case into.CanInt():
		return "an integer"
	case into.CanUint():
		return "an integer of 0 or more"
	default:
		return "a number"
	}
}

func (r *documentReader) addProblem(path string, value hujson.Value, allowed string) {
	position := r.positionOf(value)
	r.problems = append(r.problems, Problem{
		Line: position.Line, Column: position.Column, Path: path, Value: position.Text, Allowed: allowed,
	})
}

// maxShownBytes is the number of bytes of a value that a problem shows, so that
// long values do not flood the terminal.
const maxShownBytes = 40

func (r *documentReader) positionOf(value hujson.Value) Position {
	// Find the last line that starts at or before the value.
	line, _ := slices.BinarySearch(r.lineOffsets, value.StartOffset+1)
	text := string(bytes.TrimSpace(r.data[value.StartOffset:value.EndOffset]))
	if first, _, more := strings.Cut(text, "\n"); more {
		text = first + "…"
	}
	if len(text) > maxShownBytes {
		text = text[:maxShownBytes] + "…"
	}
	return Position{
		Line:   line,
		Column: value.StartOffset - r.lineOffsets[line-1] + 1,
		Text:   text,
	}
}

func findLineOffsets(data []byte) []int {
	offsets := []int{0}
	for i, b := range data {
		if b == '\n' {
			offsets = append(offsets, i+1)
		}
	}
	return offsets
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
