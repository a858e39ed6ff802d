package share

// RetryBudget limits retries to a fraction of the requests. The zero value is a
// full budget.
type RetryBudget struct {
	// spent is the amount by which the budget is below its maximum, in hundredths
	// of a retry.
	spent int
}

const (
	retryCost      = 100
	requestDeposit = 10 // retries add at most a tenth to the load
	maxBudget      = 10 * retryCost
)

// Deposit credits the budget for one new request.
func (b *RetryBudget) Deposit() { b.spent = max(b.spent-requestDeposit, 0) }

// TryWithdraw takes one retry from the budget. It returns false if the budget is
// exhausted.
func (b *RetryBudget) TryWithdraw() bool {
	if b.spent+retryCost > maxBudget {
		return false
	}
	b.spent += retryCost
	return true
}
