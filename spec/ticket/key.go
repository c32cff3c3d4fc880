package ticket

import "strconv"

// key returns a canonical encoding of the state.
func (s *State) key() string {
	b := make([]byte, 0, 512)
	num := func(n int) {
		b = strconv.AppendInt(b, int64(n), 36)
		b = append(b, ' ')
	}
	num(s.now)
	for i := range s.nodes {
		n := &s.nodes[i]
		b, _ = n.evidence.AppendText(b)
		b, _ = n.supporter.AppendText(b)
		num(int(n.acked))
		num(int(n.served))
		for _, r := range n.attestations {
			if r.ok {
				num(int(r.att.QuietFor))
				num(int(r.att.Head.Number))
				num(int(r.att.Head.Roster))
				num(r.sent)
				num(r.received)
			}
			b = append(b, ';')
		}
	}
	num(int(s.head.Number))
	num(int(s.head.Roster))
	for _, c := range s.committed {
		num(c)
	}
	num(s.expelledAt)
	for _, p := range s.proposals[:s.proposalCount] {
		num(int(p.base.Number))
		num(int(p.base.Roster))
		num(int(p.next.Number))
		num(int(p.next.Roster))
		num(p.started)
		num(p.sent)
		for _, v := range p.votes {
			b = strconv.AppendBool(b, v)
		}
	}
	if m := s.delayed; m.ok {
		num(m.to)
		num(m.from)
		num(m.sent)
		num(int(m.head.Number))
		num(int(m.head.Roster))
		num(int(m.age))
		b = strconv.AppendBool(b, m.attests)
		num(int(m.att.QuietFor))
		num(int(m.att.Head.Number))
		num(int(m.att.Head.Roster))
	}
	num(int(s.reported))
	num(s.tickets)
	num(s.expulsions)
	num(s.restarts)
	num(s.delayedCount)
	return string(b)
}
