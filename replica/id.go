package replica

// An ID identifies a replica. It is drawn at random for an empty data folder and stored there; zero means no replica.
type ID uint64
