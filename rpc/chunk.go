package rpc

// HasToken reports whether a chunk of a chat carries something that the engine
// generated. The first chunk of many engines holds only the role, and the last
// one only the finish reason; neither counts for latencies.
func (c *Chunk) HasToken() bool {
	return c.GetText() != "" || c.GetOpaque()
}
