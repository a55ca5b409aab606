package quota

// RPC is the net/rpc receiver of a Manager, to be registered as "Quota".
type RPC struct {
	m *Manager
}

// RPC returns the net/rpc receiver.
func (m *Manager) RPC() any { return &RPC{m: m} }

// Delegate records another host's delegation, for the duration of a lease.
func (r *RPC) Delegate(args *DelegateArgs, reply *DelegateReply) error {
	r.m.homeMu.Lock()
	defer r.m.homeMu.Unlock()
	*reply = r.m.home.delegate(r.m.now(), args)
	return nil
}

// Borrow handles a host's reports on earlier loans and its request for tokens.
func (r *RPC) Borrow(args *BorrowArgs, reply *BorrowReply) error {
	r.m.homeMu.Lock()
	defer r.m.homeMu.Unlock()
	*reply = r.m.home.borrow(r.m.now(), args)
	return nil
}

// Roster returns this host's copy of its zone's roster.
func (r *RPC) Roster(args *RosterArgs, reply *RosterReply) error {
	r.m.mu.Lock()
	defer r.m.mu.Unlock()
	now := r.m.now()
	*reply = r.m.rosterReplica.handleQuery(now, args)
	r.m.refresh(now)
	return nil
}

// serve handles a call of this host to itself.
func (m *Manager) serve(method string, args, reply any) error {
	r := &RPC{m: m}
	switch method {
	case methodDelegate:
		return r.Delegate(args.(*DelegateArgs), reply.(*DelegateReply))
	case methodBorrow:
		return r.Borrow(args.(*BorrowArgs), reply.(*BorrowReply))
	case methodRoster:
		return r.Roster(args.(*RosterArgs), reply.(*RosterReply))
	}
	return errUnknownMethod
}
