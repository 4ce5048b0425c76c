package budget_test

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sapphirespread.example/internal/host/budget"
)

var (
	start = time.Unix(1000, 0)
	home  = netip.MustParseAddr("127.0.0.1")
)

// A client is a connection in a test.
type client struct {
	*budget.Holder
	givenUp int
	waiting bool // for its answer
}

func open(t interface{ Fatal(...any) }, b *budget.Budget, now time.Time, address netip.Addr) *client {
	c := &client{}
	holder, opened := b.Open(now, address, func() { c.givenUp++ })
	if !opened {
		t.Fatal("no room for a connection")
	}
	c.Holder = holder
	return c
}

// TestLoadOfStalledUploads plays uploads that stop just short of their end, many at once: they give way, those that have
// sent least first, and a client that goes on and one that waits for its answer stay.
func TestLoadOfStalledUploads(t *testing.T) {
	const body = 64 << 10
	b := budget.New(budget.Limits{Bytes: 8 * (body + budget.ConnectionBytes)})
	waiting, steady := open(t, b, start, home), open(t, b, start, home)
	waiting.Run(1)
	var stalled []*client
	for i := 0; ; i++ {
		c := open(t, b, start, home)
		if !c.Take(start, budget.Bodies, body) {
			c.Close()
			break
		}
		c.AwaitIncoming(start)
		c.Received(start, i)
		c.AwaitIncoming(start)
		stalled = append(stalled, c)
	}
	now := start.Add(10 * time.Second)
	steady.AwaitIncoming(start)
	steady.Received(now, 10<<20)
	steady.AwaitIncoming(now)
	if c := open(t, b, now, home); !c.Take(now, budget.Bodies, body) {
		t.Error("no room for an upload beside stalled ones")
	}
	if waiting.givenUp+steady.givenUp > 0 || stalled[0].givenUp != 1 || stalled[len(stalled)-1].givenUp > 0 {
		t.Errorf("given up: waiting %d, steady %d, the emptiest %d, the fullest %d", waiting.givenUp, steady.givenUp, stalled[0].givenUp, stalled[len(stalled)-1].givenUp)
	}
}

// TestIdleConnectionsGiveWayToNewOnes checks that the connection that is idle for longest is closed if connections are
// short, and that a new one is refused while all are young.
func TestIdleConnectionsGiveWayToNewOnes(t *testing.T) {
	b := budget.New(budget.Limits{Connections: 3})
	clients := []*client{open(t, b, start, home), open(t, b, start, home), open(t, b, start, home)}
	for i, c := range clients {
		c.Idle(start.Add(time.Duration(i) * 100 * time.Millisecond))
	}
	if _, opened := b.Open(start.Add(900*time.Millisecond), home, func() {}); opened {
		t.Error("a connection above the bound was opened beside young ones")
	}
	open(t, b, start.Add(1050*time.Millisecond), home)
	if clients[0].givenUp != 1 || clients[1].givenUp+clients[2].givenUp > 0 {
		t.Errorf("given up: %d %d %d, want only the oldest", clients[0].givenUp, clients[1].givenUp, clients[2].givenUp)
	}
	if stats := b.Stats(); stats.Open != 3 || stats.GivenUp != 1 || stats.RefusedConnections != 1 {
		t.Errorf("got %+v", stats)
	}
}

// TestTheClientThatHoldsMostGivesWay checks that a client over an equal share loses connections before one below it, also
// if the other has lagged for longer.
func TestTheClientThatHoldsMostGivesWay(t *testing.T) {
	b := budget.New(budget.Limits{Connections: 4})
	small := open(t, b, start, home)
	small.AwaitIncoming(start)
	var large []*client
	for range 3 {
		c := open(t, b, start, netip.MustParseAddr("10.0.0.1"))
		c.AwaitIncoming(start.Add(time.Second))
		large = append(large, c)
	}
	open(t, b, start.Add(5*time.Second), home)
	if small.givenUp > 0 || large[0].givenUp != 1 {
		t.Errorf("given up: small %d, large %d", small.givenUp, large[0].givenUp)
	}
}

// TestWaitingConnectionsAreNeverGivenUp checks, for any order of events, that the limits hold, that nobody is given up
// twice or while waiting for an answer, and that all is returned in the end.
func TestWaitingConnectionsAreNeverGivenUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := budget.Limits{Connections: rapid.IntRange(1, 6).Draw(t, "connections"), Bytes: rapid.Int64Range(1, 20).Draw(t, "blocks") * budget.ConnectionBytes}
		b := budget.New(limits)
		now := start
		var clients []*client
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "milliseconds")) * time.Millisecond)
			if len(clients) == 0 || rapid.IntRange(0, 3).Draw(t, "open") == 0 {
				c := &client{}
				if holder, opened := b.Open(now, home, func() { c.givenUp++ }); opened {
					c.Holder = holder
					c.AwaitIncoming(now)
					clients = append(clients, c)
				}
			} else {
				clients[rapid.IntRange(0, len(clients)-1).Draw(t, "client")].act(t, now)
			}
			held := int64(0)
			for _, bytes := range b.Stats().Bytes {
				held += bytes
			}
			if open := b.Stats().Open; open > limits.Connections || held > limits.Bytes {
				t.Fatalf("%d connections and %d bytes are held, the limits are %+v", open, held, limits)
			}
			for _, c := range clients {
				if c.givenUp > 1 || c.givenUp == 1 && c.waiting {
					t.Fatalf("given up %d times, waiting for an answer: %t", c.givenUp, c.waiting)
				}
			}
			clients = remaining(clients)
		}
		for _, c := range clients {
			c.Close()
		}
		if stats := b.Stats(); stats.Open != 0 || stats.Bytes["bodies"] != 0 || stats.Bytes["heads"] != 0 {
			t.Fatalf("still held: %+v", stats)
		}
	})
}

// act plays one event of a client.
func (c *client) act(t *rapid.T, now time.Time) {
	switch rapid.IntRange(0, 3).Draw(t, "event") {
	case 0:
		c.Take(now, budget.Kind(rapid.IntRange(0, 3).Draw(t, "kind")), rapid.Int64Range(0, 5*budget.ConnectionBytes).Draw(t, "bytes"))
	case 1:
		if !c.waiting {
			c.Run(1)
			c.waiting = true
		}
	case 2:
		if c.waiting {
			c.Run(-1)
			c.waiting = false
			c.Idle(now)
		}
	case 3:
		c.Received(now, rapid.IntRange(0, 1<<16).Draw(t, "received"))
		c.AwaitIncoming(now)
	}
}

// remaining returns the clients that were not given up.
func remaining(clients []*client) []*client {
	var open []*client
	for _, c := range clients {
		if c.givenUp == 0 {
			open = append(open, c)
		}
	}
	return open
}
