package compiler_test

import (
	"fmt"
	"strings"
	"testing"

	"mulberrybeam/version/compiler"
	"mulberrybeam/version/parser"
)

// document returns a configuration with the given numbers of engines and
// workspaces.
func document(engines, workspaces int) string {
	var text strings.Builder
	write := func(format string, values ...any) { _, _ = fmt.Fprintf(&text, format, values...) }
	write("{\"name\": \"large\", \"revision\": 1, \"regions\": [{\"name\": \"r\", \"zones\": [")
	for zone := range 7 {
		write("{\"name\": \"z%d\"},", zone)
	}
	write("]}], \"models\": [{\"name\": \"m\", \"version\": \"v1\"}], \"engine-groups\": [")
	for zone := range 7 {
		write("{\"name\": \"g%d\", \"zone\": \"z%d\", \"models\": [\"m\"], \"targets\": [\n", zone, zone)
		for i := zone; i < engines; i += 7 {
			write("{\"id\": \"engine-%d\", \"address\": \"10.1.%d.%d:8000\"},\n", i, i/250, i%250)
		}
		write("]},")
	}
	write("], \"workspaces\": [\n")
	for i := range workspaces {
		write("{\"name\": \"workspace-%d\", \"key-hashes\": [\"%064x\"], \"weight\": 1, \"requests-per-second\": 5},\n", i, i)
	}
	write("]}")
	return text.String()
}

// BenchmarkRevision parses, validates and compiles one configuration.
func BenchmarkRevision(b *testing.B) {
	for _, size := range []struct{ engines, workspaces int }{{20, 10}, {91, 220}, {640, 2200}} {
		text := []byte(document(size.engines, size.workspaces))
		b.Run(fmt.Sprintf("engines=%d/workspaces=%d", size.engines, size.workspaces), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				environment, err := parser.Parse(text)
				if err != nil {
					b.Fatal(err)
				}
				compiler.Compile(environment)
			}
			b.ReportMetric(float64(len(text)), "bytes")
		})
	}
}
