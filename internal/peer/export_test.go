package peer

// ActAsEarlierBuild makes the pool behave like one of a build that does not know the
// compact format.
func (p *Pool) ActAsEarlierBuild() { p.compact = false }

// ActAsEarlierBuild makes the server behave like one of a build that does not know the
// compact format.
func (s *Server) ActAsEarlierBuild() { s.compact = false }
