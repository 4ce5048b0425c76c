package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"

	"golang.org/x/sync/errgroup"

	"sapphirespread.example/timeline"
)

// gatherers bounds how many processes are asked at once.
const gatherers = 16

// gather returns the events of each process that answers, and an error for each that does not.
func (a *app) gather(ctx context.Context, addresses []netip.AddrPort) ([][]timeline.Event, []error) {
	gathered := make([][]timeline.Event, len(addresses))
	failures := make([]error, len(addresses))
	var group errgroup.Group
	group.SetLimit(gatherers)
	for i, address := range addresses {
		group.Go(func() error {
			events, err := a.eventsOf(ctx, address)
			if err != nil {
				failures[i] = fmt.Errorf("process at %s: %w", address, err)
			}
			gathered[i] = events
			return nil
		})
	}
	group.Wait()
	return gathered, slices.DeleteFunc(failures, func(err error) bool { return err == nil })
}

// eventsOf returns the events of one process, those before a broken line also with an error.
func (a *app) eventsOf(ctx context.Context, address netip.AddrPort) ([]timeline.Event, error) {
	lines, err := a.openOne(address).Timeline(ctx)
	if err != nil {
		return nil, err
	}
	var events []timeline.Event
	decoder := json.NewDecoder(lines)
	for {
		var event timeline.Event
		err := decoder.Decode(&event)
		if errors.Is(err, io.EOF) {
			return events, nil
		}
		if err != nil {
			return events, fmt.Errorf("reading events: %w", err)
		}
		events = append(events, event)
	}
}
