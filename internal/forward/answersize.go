package forward

import "github.com/sardinespindle/sardinespindle/internal/policy/clientlimit"

// smallAnswer is the size up to which an answer is not counted: the buffers of its connection hold it.
const smallAnswer = 16 << 10

// takeAnswer makes room for an answer of the size that recent ones of the route had on average: a request
// that has run cannot be refused. It reports false if there is no room.
func (s *Server) takeAnswer(q *request) bool {
	if q.conn == nil || !s.largeAnswers.Load() {
		return true
	}
	expected := 0
	s.answerSizes.View(q.route.Name, func(size *int) { expected = *size })
	return expected <= smallAnswer || q.conn.Take(expected, q.deadline)
}

// holdAnswer counts an answer that is about to be written, and remembers its size.
func (s *Server) holdAnswer(q *request, size int) {
	if q.conn == nil || q.route == nil || size <= smallAnswer && !s.largeAnswers.Load() {
		return
	}
	s.largeAnswers.Store(true)
	s.answerSizes.Update(q.route.Name, func(known *int) { *known = clientlimit.ExpectedAnswer(*known, size) })
	if size > smallAnswer {
		q.conn.Hold(size)
	}
}
