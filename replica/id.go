package replica

// An ID is drawn at random for an empty data folder and kept in it; zero is no replica.
type ID uint64
