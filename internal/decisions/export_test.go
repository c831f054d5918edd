package decisions

// OpenStreams returns the number of responses whose end a Coordinator waits for.
func OpenStreams(d *Coordinator) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.streams)
}
