package setting

const (
	defaultMaxBodyBytes      = 1 << 20
	defaultDeadlineMS        = 30_000
	defaultMaxDeadlineMS     = 600_000
	defaultDrainMS           = 30_000
	defaultBalancerMS        = 5_000
	defaultRetryRatio        = 0.1
	defaultSlots             = 16
	defaultPlatformPollMS    = 1_000
	defaultAnswerBytes       = 64 << 20
	defaultAnswerKeepMS      = 600_000
	defaultReplaceAfterMS    = 60_000
	defaultSnapshotEntries   = 1_000
	defaultStoreRate         = 5
	defaultStoreSlots        = 4
	defaultAdapterBudget     = 30
	defaultCertificateReload = 60_000
	defaultLeaseMS           = 4_000
	defaultMemoryMB          = 4_096
)

// Defaults returns the value of every setting that a file leaves out.
func Defaults() Settings {
	return Settings{
		Entry: Entry{
			MaxBodyBytes:      defaultMaxBodyBytes,
			DefaultDeadlineMS: defaultDeadlineMS,
			MaxDeadlineMS:     defaultMaxDeadlineMS,
			DrainMS:           defaultDrainMS,
			BalancerMS:        defaultBalancerMS,
			RetryRatio:        defaultRetryRatio,
			CallerKeys:        map[string]string{},
		},
		Agent: Agent{
			Slots:          defaultSlots,
			PlatformPollMS: defaultPlatformPollMS,
			AnswerBytes:    defaultAnswerBytes,
			AnswerKeepMS:   defaultAnswerKeepMS,
		},
		Control: Control{
			Bootstrap:       []string{},
			ReplaceAfterMS:  defaultReplaceAfterMS,
			SnapshotEntries: defaultSnapshotEntries,
			StoreRate:       defaultStoreRate,
			StoreSlots:      defaultStoreSlots,
			AdapterBudget:   defaultAdapterBudget,
		},
		Operator: Operator{TokenFiles: map[string]string{}},
		TLS:      TLS{ReloadMS: defaultCertificateReload},
		Lease:    Lease{LengthMS: defaultLeaseMS},
		Limits:   Limits{MemoryMB: defaultMemoryMB},
	}
}
