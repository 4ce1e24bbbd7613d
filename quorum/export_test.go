package quorum

// WithGroupWrites bounds how many appends share an fsync, for measurements.
func WithGroupWrites(count int) Option { return func(l *Log) { l.groupWrites = count } }

// Syncs returns how many fsyncs the log took; it is exact once the log has stopped.
func (l *Log) Syncs() uint64 { return l.store.Syncs() }
