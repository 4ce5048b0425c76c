package deployment

import (
	"net/http"
	"time"

	"sapphirespread.example/internal/standin"
)

// Kite returns a deployment for kite aerial photography, with four failure domains and four services of 4 to 6
// targets each.
func Kite() Deployment {
	critical, normal, low := Priority{"critical", 0}, Priority{"normal", 1}, Priority{"low", 2}
	return Deployment{
		Name:           "kite",
		FailureDomains: []string{"tanger", "casablanca", "essaouira", "agadir"},
		Services: []Service{
			{
				Name: "permit", Slots: []int{230, 200, 180, 160, 150, 140}, Connections: []int{1500, 1400, 1300, 1200, 1100, 1000}, Work: 60 * time.Millisecond,
				Calls: []standin.NestedCall{{Service: "wind", Method: http.MethodGet, Path: "/wind/reading"}, {Service: "licence", Method: http.MethodPost, Path: "/licence/sell"}},
			},
			{Name: "wind", Slots: []int{140, 120, 110, 100, 90}, Connections: []int{900, 800, 700, 700, 600}, Work: 40 * time.Millisecond},
			{
				Name: "licence", Slots: []int{110, 100, 90, 80}, Connections: []int{700, 600, 600, 500}, Work: 50 * time.Millisecond,
				Calls: []standin.NestedCall{{Service: "archive", Method: http.MethodGet, Path: "/archive/find"}},
			},
			{Name: "archive", Slots: []int{60, 50, 40, 25}, Connections: []int{400, 350, 300, 250}, Work: 40 * time.Millisecond},
		},
		Routes: []Route{
			{Name: "book-permit", Method: http.MethodPost, Path: "/permit/book", Service: "permit", Priority: critical, Deadline: time.Second, Weight: 0.4},
			{Name: "wind-reading", Method: http.MethodGet, Path: "/wind/reading", Service: "wind", Priority: critical, Deadline: 500 * time.Millisecond, Repeatable: true, Weight: 0.4},
			{Name: "find-photo", Method: http.MethodGet, Path: "/archive/find", Service: "archive", Priority: low, Deadline: time.Second, Repeatable: true, Weight: 0.2},
			{Name: "sell-licence", Method: http.MethodPost, Path: "/licence/sell", Service: "licence", Priority: normal, Deadline: time.Second},
		},
		Workspaces: []Workspace{
			{"agence-atlas", 0.3},
			{"agence-littoral", 0.25},
			{"atelier-souss", 0.15},
			{"kasbah-images", 0.1},
			{"dunes-photo", 0.08},
			{"cote-ouest", 0.06},
			{"petit-cerf-volant", 0.04},
			{"vue-du-ciel", 0.02},
		},
	}
}
