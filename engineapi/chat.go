package engineapi

import (
	"hash/fnv"
	"io"
)

// Locations in which an engine finds a checkpoint.
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

// Reasons why a completion ended.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// StreamDone is the data of the event that ends a complete stream.
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

// ChatChoice is one completion, complete in Message or in parts in Delta.
type ChatChoice struct {
	Index        int          `json:"index"`
	Message      *ChatMessage `json:"message,omitempty"`
	Delta        *ChatDelta   `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

// ChatDelta is a part of a completion.
type ChatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// ChatUsage counts the tokens of a request and its completion.
type ChatUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// ChatCompletion is a complete response or a chunk of a stream, depending on Object.
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

// StreamError is the data of the event that ends an incomplete stream. It is not followed by StreamDone.
type StreamError struct {
	Error Problem `json:"error"`
}

// KV is the exported KV cache of one prompt prefix.
type KV struct {
	Model  string
	Prefix uint64
	Data   []byte
}

// PrefixHash returns the hash under which an engine caches the first message of a conversation.
func PrefixHash(model string, messages []ChatMessage) uint64 {
	sum := fnv.New64a()
	_, _ = io.WriteString(sum, model)
	if len(messages) > 0 {
		_, _ = io.WriteString(sum, "\x00"+messages[0].Role+"\x00"+messages[0].Content)
	}
	return sum.Sum64()
}
