package share

// RetryBudget limits retries to a share of the requests. The zero value is ready and
// allows a first few retries.
type RetryBudget struct {
	// spent is how far the budget is below its maximum, in hundredths of a
	// retry.
	spent int
}

const (
	retryCost     = 100
	requestCredit = 10 // retries add at most a tenth to the load
	maxBudget     = 10 * retryCost
)

// Deposit adds the share of one new request.
func (b *RetryBudget) Deposit() { b.spent = max(b.spent-requestCredit, 0) }

// TryWithdraw takes one retry from the budget, or reports false when it is used up.
func (b *RetryBudget) TryWithdraw() bool {
	if b.spent+retryCost > maxBudget {
		return false
	}
	b.spent += retryCost
	return true
}
