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

// print writes value as JSON, or calls writeText if the output flag selects text.
func (a *app) print(c *cli.Command, value any, writeText func(io.Writer) error) error {
	if c.String("output") != outputJSON {
		return writeText(a.stdout)
	}
	encoder := json.NewEncoder(a.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printTable writes rows in aligned columns under headings.
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
