package standin

// HTTP headers between a daemon and its backend server, which the stand-in reads or sets.
const (
	WorkspaceHeader      = "Sapphirespread-Workspace"
	CallTokenHeader      = "Sapphirespread-Call-Token"
	RequestIDHeader      = "Sapphirespread-Request-Id"
	DeadlineHeader       = "Sapphirespread-Deadline"
	PriorityHeader       = "Sapphirespread-Priority"
	RefusalHeader        = "Sapphirespread-Refusal"
	RunStateHeader       = "Sapphirespread-Run-State"
	IdempotencyKeyHeader = "Idempotency-Key"
	FailureHeader        = "Standin-Failure"
)
