package quorum

// WithMaxWritesPerSync limits the appends that share an fsync, for measurements.
func WithMaxWritesPerSync(count int) Option { return func(l *Log) { l.maxWritesPerSync = count } }

// Syncs returns the number of fsyncs of the log; it is exact once the log has stopped.
func (l *Log) Syncs() uint64 { return l.store.Syncs() }
