package rpc

// HasToken reports whether a chunk of a chat completion carries generated output. The
// first chunk of many engines holds only the role, and the last one only the finish
// reason; neither counts towards first-token and inter-token times.
func (c *Chunk) HasToken() bool {
	return c.GetText() != "" || c.GetOpaque()
}
