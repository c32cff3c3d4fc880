package dispatch

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// doneMarker is the data of the last event of a stream.
const doneMarker = "[DONE]"

// chunk holds the fields of an engine's stream event that the cursor needs.
type chunk struct {
	ID string `json:"id"`
	// SystemFingerprint identifies the engine's software and its configuration; empty if
	// the engine doesn't state it.
	SystemFingerprint string `json:"system_fingerprint"`
	// TokenIndex is the index of the chunk's first output token; it is absent
	// in chunks without tokens.
	TokenIndex *int `json:"token_index"`
	// TokenCount is the number of output tokens; absent means 1.
	TokenCount *int            `json:"token_count"`
	Choices    []chunkChoice   `json:"choices"`
	Usage      *engineUsage    `json:"usage"`
	Error      json.RawMessage `json:"error"`
}

type chunkChoice struct {
	FinishReason *string `json:"finish_reason"`
}

type engineUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func (u *engineUsage) toUsage() Usage {
	return Usage{
		PromptTokens:     u.PromptTokens,
		CompletionTokens: u.CompletionTokens,
		CachedTokens:     u.Details.CachedTokens,
	}
}

// action says how to handle an event of an engine's stream.
type action uint8

const (
	// actionDeliver passes the event on to the caller.
	actionDeliver action = iota
	// actionDrop discards the event.
	actionDrop
	// actionDone passes the event on and ends the stream.
	actionDone
)

// cursor tracks the position in one caller's stream over all attempts. It
// passes each token exactly once and in order.
type cursor struct {
	requestID string
	// delivered is the number of output tokens passed to the caller.
	delivered int
	// sentPreamble, sentFinish and sentUsage are set once a preamble (a chunk
	// without tokens), a finish reason and a usage were passed on. A resumed
	// stream repeats them.
	sentPreamble, sentFinish, sentUsage bool
	usage                               Usage
	// fingerprint is the system fingerprint of the engine that produced the delivered
	// tokens.
	fingerprint string
	// firstToken is set until the current attempt has delivered a token.
	firstToken bool
	// resumed is set if the caller already has part of the stream from an
	// earlier attempt.
	resumed bool
	// hideUsage is set if the caller did not ask for token usage. The router
	// always requests it from engines.
	hideUsage bool
}

// beginAttempt prepares the cursor for the stream of the next attempt.
func (c *cursor) beginAttempt() {
	c.firstToken = true
	c.resumed = c.sentPreamble || c.delivered > 0 || c.sentFinish
}

// accept returns the action for the next event of the current attempt. An error
// ends the attempt.
func (c *cursor) accept(data []byte) (action, *attemptError) {
	if string(data) == doneMarker {
		return actionDone, nil
	}
	var ch chunk
	if err := json.Unmarshal(data, &ch); err != nil {
		return actionDrop, failedMayHaveRun(InvalidResponse, errors.Wrap(err, "chunk"))
	}
	if len(ch.Error) > 0 && string(ch.Error) != "null" {
		return actionDrop, failedMayHaveRun(ServerError, errors.New("engine reported an error in the stream"))
	}
	if ch.ID != c.requestID {
		return actionDrop, failedMayHaveRun(WrongRequestID, errors.Errorf("chunk carries the ID of request %q", ch.ID))
	}
	if ch.Usage != nil {
		c.usage = ch.Usage.toUsage()
	}
	if ch.TokenIndex != nil {
		return c.acceptTokens(ch)
	}
	return c.acceptWithoutTokens(ch), nil
}

// complete reports whether the caller has the whole response except for the
// done marker.
func (c *cursor) complete() bool {
	return c.sentFinish && (c.sentUsage || c.hideUsage)
}

// acceptTokens checks that a chunk continues the token sequence.
func (c *cursor) acceptTokens(ch chunk) (action, *attemptError) {
	if c.sentFinish {
		return actionDrop, failedMayHaveRun(InvalidResponse, errors.New("tokens after the finish reason"))
	}
	n := 1
	if ch.TokenCount != nil {
		n = *ch.TokenCount
	}
	if *ch.TokenIndex != c.delivered || n < 0 {
		return actionDrop, failedMayHaveRun(InvalidResponse, errors.Errorf("token index %d with %d tokens, want index %d", *ch.TokenIndex, n, c.delivered))
	}
	if c.delivered == 0 {
		c.fingerprint = ch.SystemFingerprint
	}
	// Some engines state the fingerprint in the first chunk only.
	if ch.SystemFingerprint != c.fingerprint && (c.firstToken || ch.SystemFingerprint != "") {
		return actionDrop, failedMayHaveRun(InvalidResponse, errors.Errorf("stream of system fingerprint %q goes on with %q", c.fingerprint, ch.SystemFingerprint))
	}
	c.delivered += n
	c.firstToken = false
	c.sentFinish = c.sentFinish || ch.hasFinishReason()
	c.sentUsage = c.sentUsage || ch.Usage != nil
	return actionDeliver, nil
}

// acceptWithoutTokens returns the action for a chunk without tokens. On a
// resumed stream it drops chunks that the caller already has.
func (c *cursor) acceptWithoutTokens(ch chunk) action {
	repeat := c.sentPreamble || c.delivered > 0
	switch {
	case ch.hasFinishReason():
		repeat = c.sentFinish
		c.sentFinish = true
	case ch.Usage != nil:
		if c.hideUsage {
			return actionDrop
		}
		repeat = c.sentUsage
		c.sentUsage = true
	default:
		c.sentPreamble = true
	}
	if c.resumed && repeat {
		return actionDrop
	}
	return actionDeliver
}

func (ch chunk) hasFinishReason() bool {
	for _, choice := range ch.Choices {
		if choice.FinishReason != nil {
			return true
		}
	}
	return false
}
