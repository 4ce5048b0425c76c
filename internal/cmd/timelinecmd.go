package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"

	"github.com/urfave/cli/v3"

	"sapphirespread.example/timeline"
)

func newTimelineCommand(a *app) *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "merge the events of all processes into one time line",
		Description: "Asks the control instances that are named, and the daemons that the leader knows, for their kept events.\n" +
			"Processes that don't answer are named, and the exit status is 1; the events of the others are written all the same.\n\n" +
			"Example:\n   sapphirespread timeline --control 127.0.0.1:7102 --html timeline.html",
		Flags: []cli.Flag{
			controlFlag(),
			&cli.StringSliceFlag{Name: "process", Usage: "operators `ADDRESSES` of further processes"},
			&cli.StringFlag{Name: "html", Usage: "write one page to `FILE` rather than the output"},
			outputFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if _, err := arguments(c, 0, 0); err != nil {
				return err
			}
			return a.timeline(ctx, c)
		},
	}
}

func (a *app) timeline(ctx context.Context, c *cli.Command) error {
	addresses, err := a.processAddresses(ctx, c)
	if err != nil {
		return err
	}
	eventsByProcess, errs := a.fetchEvents(ctx, addresses)
	events := timeline.Merge(eventsByProcess...)
	if err := a.writeTimeline(c, events); err != nil {
		return err
	}
	if len(errs) > 0 {
		return fmt.Errorf("%d of %d processes gave no events:\n%w", len(errs), len(addresses), errors.Join(errs...))
	}
	return nil
}

func (a *app) writeTimeline(c *cli.Command, events []timeline.Event) error {
	name := c.String("html")
	if name == "" {
		return a.print(c, append([]timeline.Event{}, events...), func(w io.Writer) error { return timeline.WriteText(w, events) })
	}
	file, err := os.Create(name)
	if err != nil {
		return fmt.Errorf("writing the page: %w", err)
	}
	if err := timeline.WriteHTML(file, events); err != nil {
		file.Close()
		return err
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("writing the page: %w", err)
	}
	_, err = fmt.Fprintf(a.stdout, "%d events in %s\n", len(events), name)
	return err
}

// processAddresses returns the distinct operators addresses given by the flags, that of the leader and those of the
// daemons that the leader knows.
func (a *app) processAddresses(ctx context.Context, c *cli.Command) ([]netip.AddrPort, error) {
	api, err := a.api(c)
	if err != nil {
		return nil, err
	}
	addresses, err := parseAddresses("control", c.StringSlice("control"))
	if err != nil {
		return nil, err
	}
	extra, err := parseAddresses("process", c.StringSlice("process"))
	if err != nil {
		return nil, err
	}
	addresses = append(addresses, extra...)
	status, err := a.leaderStatus(ctx, api)
	if err != nil {
		fmt.Fprintf(a.stderr, "the daemons are not known: %v\n", err)
	}
	addresses = append(addresses, status.LeaderAddress)
	for _, d := range status.Daemons {
		addresses = append(addresses, d.OperatorsAddress)
	}
	return distinct(addresses), nil
}

func distinct(addresses []netip.AddrPort) []netip.AddrPort {
	seen := map[netip.AddrPort]bool{}
	var unique []netip.AddrPort
	for _, address := range addresses {
		if address.IsValid() && !seen[address] {
			unique = append(unique, address)
		}
		seen[address] = true
	}
	return unique
}
