package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

const tablePadding = 2

// print writes value in JSON, or by text where the output flag asks for it.
func (a *app) print(c *cli.Command, value any, text func(io.Writer) error) error {
	if c.String("output") != outputJSON {
		return text(a.stdout)
	}
	encoder := json.NewEncoder(a.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printTable writes the rows under their headings.
func printTable(w io.Writer, headings []string, rows [][]any) error {
	table := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)
	fmt.Fprintln(table, strings.Join(headings, "\t"))
	for _, row := range rows {
		cells := make([]string, len(row))
		for i, cell := range row {
			cells[i] = fmt.Sprint(cell)
		}
		fmt.Fprintln(table, strings.Join(cells, "\t"))
	}
	return table.Flush()
}
