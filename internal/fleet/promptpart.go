package fleet

import "strings"

// PromptPart names a part of a prompt, which other prompts may share.
type PromptPart string

// PromptParts are the parts of one prompt, in their order. The last one belongs to the request
// itself or to its session.
type PromptParts []PromptPart

// String returns the names in their order, joined by commas, for logs.
func (p PromptParts) String() string {
	names := make([]string, len(p))
	for n, part := range p {
		names[n] = string(part)
	}
	return strings.Join(names, ",")
}
