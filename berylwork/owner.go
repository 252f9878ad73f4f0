package berylwork

// Owner is the client account and the queue of a job, or those of a client's request.
type Owner struct {
	// Account is the client account of the key; empty on a public queue.
	Account string
	Queue   string
}

// Matches reports whether a client may see, cancel and repeat a job: its request has the key
// of the job's client account, or is on the job's own queue, which is public now or was when
// the job was accepted.
func (o Owner) Matches(request Owner) bool {
	return o.Account == request.Account || (o.Queue == request.Queue && (o.Account == "" || request.Account == ""))
}
