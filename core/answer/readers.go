package answer

// HasReaders reports whether any attached reader has not yet received the end of its answer.
func (s *Store) HasReaders() bool {
	for _, ans := range s.answers {
		if len(ans.readers) > 0 {
			return true
		}
	}
	return false
}
