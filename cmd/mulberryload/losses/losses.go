// Package losses implements the command that shows the losses in reports of the
// benchmark by cause.
package losses

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"mulberrybeam/cmd/mulberryload/process/lossanalyzer"
)

// Command is the losses command.
type Command struct {
	Reports []string `arg:"" help:"Reports that the benchmark wrote with --report." type:"existingfile"`
	Plot    bool     `help:"Print a bar chart instead of a table."`
}

// Run prints the table or the bar chart.
func (c *Command) Run(stdout io.Writer) error {
	var days []lossanalyzer.Day
	var errs []error
	for _, path := range c.Reports {
		data, err := os.ReadFile(path)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
		day, err := lossanalyzer.Read(name, data)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		days = append(days, day)
	}
	if len(errs) > 0 {
		return errors.Join(errs...)
	}
	format := formatTable
	if c.Plot {
		format = formatBars
	}
	_, err := io.WriteString(stdout, format(days, lossanalyzer.Causes(days)))
	return err
}

// formatTable formats the losses as a Markdown table with a row for each cause
// and a column for each day.
func formatTable(days []lossanalyzer.Day, causes []string) string {
	var text strings.Builder
	row := func(heading string, cell func(lossanalyzer.Day) string) {
		text.WriteString("| " + heading + " |")
		for _, day := range days {
			text.WriteString(" " + cell(day) + " |")
		}
		text.WriteString("\n")
	}
	row("cause", func(day lossanalyzer.Day) string { return day.Name })
	row("---", func(lossanalyzer.Day) string { return "---" })
	for _, cause := range causes {
		row(cause, func(day lossanalyzer.Day) string { return fmt.Sprintf("%.3f", day.Losses[cause]) })
	}
	row("worth", func(day lossanalyzer.Day) string {
		if day.RulesViolated {
			return fmt.Sprintf("%.3f, rules violated", day.Score)
		}
		return fmt.Sprintf("%.3f", day.Score)
	})
	return text.String()
}

// lossPerMark is the loss that one character of a bar stands for.
const lossPerMark = 0.01

// formatBars formats the losses as a text chart with a bar for each cause of
// each day.
func formatBars(days []lossanalyzer.Day, causes []string) string {
	width := 0
	for _, cause := range causes {
		width = max(width, len(cause))
	}
	var text strings.Builder
	for _, day := range days {
		_, _ = fmt.Fprintf(&text, "%s, worth %.3f\n", day.Name, day.Score)
		for _, cause := range causes {
			if marks := int(day.Losses[cause]/lossPerMark + 0.5); marks > 0 {
				_, _ = fmt.Fprintf(&text, "  %-*s %s %.3f\n", width, cause, strings.Repeat("#", marks), day.Losses[cause])
			}
		}
	}
	return text.String()
}
