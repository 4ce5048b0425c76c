package target

// A Choice is the target chosen for a call; Local means that it is beside the choosing daemon.
type Choice struct {
	Target Target
	Local  bool
}
