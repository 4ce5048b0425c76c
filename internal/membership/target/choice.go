package target

// A Choice is the target chosen for a call. Local reports that the target runs beside the choosing daemon. ShedShare is
// the share of requests of the same origin that every target of the service sheds, from 0 to 1.
type Choice struct {
	Target    Target
	Local     bool
	ShedShare float64
}
