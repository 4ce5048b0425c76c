package standin

// Headers between a daemon, its backend server and the stand-in.
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
