// Package openai defines the wire types of the OpenAI-compatible API, with the
// extensions that model engines and callers of papayaspan use. Only the fields
// that routing needs are typed; a router forwards the rest uninterpreted.
package openai

import (
	"encoding/json"
	"net/http"
	"strings"
)

// Paths of the API.
const (
	PathChatCompletions = "/v1/chat/completions"
	PathCompletions     = "/v1/completions"
	PathModels          = "/v1/models"
)

// Headers of requests and responses between router and engine.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIncarnation    = "X-Engine-Incarnation"
	HeaderWeightsVersion = "X-Weights-Version"
)

// Done is the data of the last event of a complete stream.
const Done = "[DONE]"

// Message is one message of a chat.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// StreamOptions are the options of a streamed response.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Request holds the fields of a completion request that routing needs.
type Request struct {
	Model               string          `json:"model"`
	Messages            []Message       `json:"messages,omitempty"`
	Prompt              json.RawMessage `json:"prompt,omitempty"`
	MaxTokens           int             `json:"max_tokens,omitempty"`
	MaxCompletionTokens int             `json:"max_completion_tokens,omitempty"`
	Stream              bool            `json:"stream,omitempty"`
	StreamOptions       *StreamOptions  `json:"stream_options,omitempty"`
	// CacheSalt isolates the prefix caches of client accounts from each other.
	CacheSalt string `json:"cache_salt,omitempty"`
	// Priority orders the engine's queue; lower runs first.
	Priority int `json:"priority,omitempty"`
	// ResumeFrom is the number of output tokens that the caller already has.
	ResumeFrom int `json:"resume_from,omitempty"`
}

// OutputLimit returns the declared maximum of output tokens, or def if there is
// none.
func (r *Request) OutputLimit(def int) int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	return def
}

// PromptText returns the prompt as one string. Content that is not a string is
// included as JSON.
func (r *Request) PromptText() string {
	if len(r.Messages) == 0 {
		return rawText(r.Prompt)
	}
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(rawText(m.Content))
		b.WriteByte('\n')
	}
	return b.String()
}

// rawText returns the decoded string if raw is a JSON string, and the JSON text
// otherwise.
func rawText(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
}

// PromptTokensDetails is the breakdown of the prompt tokens.
type PromptTokensDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Usage holds the token counts of one response.
type Usage struct {
	PromptTokens        int                  `json:"prompt_tokens"`
	CompletionTokens    int                  `json:"completion_tokens"`
	TotalTokens         int                  `json:"total_tokens"`
	PromptTokensDetails *PromptTokensDetails `json:"prompt_tokens_details,omitempty"`
}

// Delta is the part of a message that a chunk adds.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Choice is one choice of a response or chunk. A chat response sets Message, a
// chat chunk sets Delta, and a plain completion sets Text.
type Choice struct {
	Index        int     `json:"index"`
	Delta        *Delta  `json:"delta,omitempty"`
	Message      *Delta  `json:"message,omitempty"`
	Text         string  `json:"text,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

// Completion is a response, or one chunk of a streamed response.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
	// TokenIndex is the index of the chunk's first output token.
	TokenIndex *int `json:"token_index,omitempty"`
}

// ErrorBody is the body of an error response. The verdict is an extension of the
// API.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes one error.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	// Verdict is "not_run", "may_have_run" or "ran".
	Verdict   string `json:"verdict"`
	RequestID string `json:"request_id,omitempty"`
}

// ErrorType returns the error type for an HTTP status.
func ErrorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// Load is an engine's load report.
type Load struct {
	Incarnation   string            `json:"incarnation"`
	Running       int               `json:"running"`
	Waiting       int               `json:"waiting"`
	QueuedTokens  int               `json:"queued_tokens"`
	KVBlocksUsed  int               `json:"kv_blocks_used"`
	KVBlocksTotal int               `json:"kv_blocks_total"`
	Weights       map[string]string `json:"weights"`
}

// Order sets the desired state of an engine. It is absolute, not relative to an
// earlier order.
type Order struct {
	// Fencing is the fencing token of the sender. It increases with each new
	// sender; an engine that checks it rejects an order whose token is lower
	// than one it has seen.
	Fencing uint64 `json:"fencing"`
	// Weights is the desired version for each model.
	Weights map[string]string `json:"weights"`
	// Role is the desired role; an empty one leaves the role unchanged.
	Role string `json:"role,omitempty"`
}

// CacheEvent is one entry of an engine's cache event stream.
type CacheEvent struct {
	Seq         uint64 `json:"seq"`
	Incarnation string `json:"incarnation"`
	// Type is "stored", "removed" or "cleared".
	Type   string   `json:"type"`
	Hashes []uint64 `json:"hashes"`
	// Salt is the cache_salt of stored blocks, if the engine reports it.
	Salt string `json:"salt,omitempty"`
}
