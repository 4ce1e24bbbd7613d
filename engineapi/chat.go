package engineapi

import (
	"hash/fnv"
	"io"
)

// Places where an engine finds a checkpoint.
const (
	CacheMemory = "Memory"
	CacheDisk   = "Disk"
	CacheRemote = "Remote"
)

// Roles of a chat message.
const (
	RoleUser      = "user"
	RoleAssistant = "assistant"
)

// Reasons why an answer ended.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// StreamDone is the data of the event that ends a whole stream.
const StreamDone = "[DONE]"

// ChatMessage is one message of a conversation.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the body of a completion request.
type ChatRequest struct {
	Model     string        `json:"model"`
	Messages  []ChatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Stream    bool          `json:"stream,omitempty"`
}

// ChatChoice is one answer, whole in Message or in parts in Delta.
type ChatChoice struct {
	Index        int          `json:"index"`
	Message      *ChatMessage `json:"message,omitempty"`
	Delta        *ChatDelta   `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

// ChatDelta is a part of an answer.
type ChatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// ChatUsage counts tokens.
type ChatUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// ChatCompletion is a whole answer or one chunk of it, as Object says.
type ChatCompletion struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []ChatChoice `json:"choices"`
	Usage   *ChatUsage   `json:"usage,omitempty"`
}

// Values of ChatCompletion.Object.
const (
	ObjectCompletion = "chat.completion"
	ObjectChunk      = "chat.completion.chunk"
)

// StreamError is the data of the event that ends a stream cut short; no StreamDone follows.
type StreamError struct {
	Error Problem `json:"error"`
}

// KV is an exported KV cache of one prompt prefix.
type KV struct {
	Model  string
	Prefix uint64
	Data   []byte
}

// PrefixOf returns the number under which an engine caches a conversation's first message.
func PrefixOf(model string, messages []ChatMessage) uint64 {
	sum := fnv.New64a()
	_, _ = io.WriteString(sum, model)
	if len(messages) > 0 {
		_, _ = io.WriteString(sum, "\x00"+messages[0].Role+"\x00"+messages[0].Content)
	}
	return sum.Sum64()
}
