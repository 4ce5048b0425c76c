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

// maxConcurrentRequests limits the number of processes that are queried at the same time.
const maxConcurrentRequests = 16

// fetchEvents returns the events of each process, and an error for each process whose events could not all be read.
func (a *app) fetchEvents(ctx context.Context, addresses []netip.AddrPort) ([][]timeline.Event, []error) {
	eventsByProcess := make([][]timeline.Event, len(addresses))
	errs := make([]error, len(addresses))
	var group errgroup.Group
	group.SetLimit(maxConcurrentRequests)
	for i, address := range addresses {
		group.Go(func() error {
			events, err := a.fetchProcessEvents(ctx, address)
			if err != nil {
				errs[i] = fmt.Errorf("process at %s: %w", address, err)
			}
			eventsByProcess[i] = events
			return nil
		})
	}
	group.Wait()
	return eventsByProcess, slices.DeleteFunc(errs, func(err error) bool { return err == nil })
}

// fetchProcessEvents returns the events of one process. After a malformed line it returns the events before it and an
// error.
func (a *app) fetchProcessEvents(ctx context.Context, address netip.AddrPort) ([]timeline.Event, error) {
	lines, err := a.openProcess(address).Timeline(ctx)
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
