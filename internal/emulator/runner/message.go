package runner

// Message is one message of a chat.
type Message struct {
	// Role is the author's role, such as "user" or "assistant".
	Role string `json:"role"`
	// Content is the message's text.
	Content string `json:"content"`
}
