package answer

// Reading reports whether a reader is attached that has not received the end of its answer.
func (s *Store) HasReaders() bool {
	for _, k := range s.answers {
		if len(k.readers) > 0 {
			return true
		}
	}
	return false
}
