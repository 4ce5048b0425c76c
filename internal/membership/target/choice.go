package target

// A Choice is the target chosen for a call. Local means that it is beside the choosing daemon; Shed is the
// share of requests like it that every target of the service sheds.
type Choice struct {
	Target Target
	Local  bool
	Shed   float64
}
