package deployment

import (
	"net/http"
	"time"

	"sapphirespread.example/internal/standin"
)

// Banevakt returns a deployment for court reservations, with three failure domains and four services of 3 to 5
// targets each.
func Banevakt() Deployment {
	critical, normal, low := Priority{"critical", 0}, Priority{"normal", 1}, Priority{"low", 2}
	return Deployment{
		Name:           "banevakt",
		FailureDomains: []string{"oslo", "drammen", "moss"},
		Services: []Service{
			{
				Name: "booking", Slots: []int{260, 240, 220, 200, 180}, Connections: []int{1700, 1600, 1500, 1400, 1200}, Work: 60 * time.Millisecond,
				Calls: []standin.NestedCall{{Service: "court", Method: http.MethodGet, Path: "/court/free"}, {Service: "payment", Method: http.MethodPost, Path: "/payment/charge"}},
			},
			{Name: "court", Slots: []int{150, 140, 130, 120}, Connections: []int{1000, 900, 900, 800}, Work: 50 * time.Millisecond},
			{
				Name: "payment", Slots: []int{130, 110, 100, 90}, Connections: []int{800, 700, 600, 600}, Work: 50 * time.Millisecond,
				Calls: []standin.NestedCall{{Service: "member", Method: http.MethodGet, Path: "/member/account"}},
			},
			{Name: "member", Slots: []int{80, 60, 50}, Connections: []int{500, 400, 400}, Work: 40 * time.Millisecond},
		},
		Routes: []Route{
			{Name: "reserve", Method: http.MethodPost, Path: "/booking/reserve", Service: "booking", Priority: critical, Deadline: time.Second, Weight: 0.45},
			{Name: "free-courts", Method: http.MethodGet, Path: "/court/free", Service: "court", Priority: normal, Deadline: time.Second, Repeatable: true, Weight: 0.35},
			{Name: "account", Method: http.MethodGet, Path: "/member/account", Service: "member", Priority: low, Deadline: time.Second, Repeatable: true, Weight: 0.2},
			{Name: "charge", Method: http.MethodPost, Path: "/payment/charge", Service: "payment", Priority: critical, Deadline: time.Second},
		},
		Workspaces: []Workspace{
			{"tennisforbundet", 0.35},
			{"oslo-tennis", 0.2},
			{"bergen-tennis", 0.15},
			{"trondheim-tennis", 0.1},
			{"stavanger-tennis", 0.08},
			{"skien-tennis", 0.05},
			{"moss-tennis", 0.04},
			{"larvik-tennis", 0.03},
		},
	}
}
