package dispatch

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// doneMarker is the data of the event that ends a stream.
const doneMarker = "[DONE]"

// chunk is the part of an engine's stream event that the cursor needs.
type chunk struct {
	ID string `json:"id"`
	// TokenIndex is the index of the chunk's first output token; absent on
	// chunks without tokens.
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

func (u *engineUsage) usage() Usage {
	return Usage{
		PromptTokens:     u.PromptTokens,
		CompletionTokens: u.CompletionTokens,
		CachedTokens:     u.Details.CachedTokens,
	}
}

// action is what to do with an event of an engine's stream.
type action uint8

const (
	deliver action = iota
	drop
	done
)

// cursor follows one caller's stream over all attempts: it lets each token
// through once and in order.
type cursor struct {
	requestID string
	// delivered is the number of output tokens let through.
	delivered int
	// preamble, finish and counted are set once a chunk without tokens, a
	// finish reason and a usage were let through. A resumed stream repeats
	// them.
	preamble, finish, counted bool
	usage                     Usage
	// resumed is set if the current attempt is not the stream's first.
	resumed bool
	// hideUsage is set if the caller did not ask for the usage, which the
	// router always asks engines for.
	hideUsage bool
}

// resume begins another attempt.
func (c *cursor) resume() {
	c.resumed = c.preamble || c.delivered > 0 || c.finish
}

// accept decides on the next event of the current attempt. Its error ends the
// attempt.
func (c *cursor) accept(data []byte) (action, *attemptError) {
	if string(data) == doneMarker {
		return done, nil
	}
	var ch chunk
	if err := json.Unmarshal(data, &ch); err != nil {
		return drop, failed(BadAnswer, errors.Wrap(err, "chunk"))
	}
	if len(ch.Error) > 0 && string(ch.Error) != "null" {
		return drop, failed(ServerError, errors.New("engine reported an error in the stream"))
	}
	if ch.ID != c.requestID {
		return drop, failed(Crossed, errors.Errorf("chunk of request %q", ch.ID))
	}
	if ch.Usage != nil {
		c.usage = ch.Usage.usage()
	}
	if ch.TokenIndex != nil {
		return c.acceptTokens(ch)
	}
	return c.acceptOther(ch), nil
}

// complete reports whether the caller has the whole answer but for the event
// that ends the stream.
func (c *cursor) complete() bool {
	return c.finish && (c.counted || c.hideUsage)
}

func (c *cursor) acceptTokens(ch chunk) (action, *attemptError) {
	if c.finish {
		return drop, failed(BadAnswer, errors.New("tokens after the finish reason"))
	}
	n := 1
	if ch.TokenCount != nil {
		n = *ch.TokenCount
	}
	if *ch.TokenIndex != c.delivered || n < 0 {
		return drop, failed(BadAnswer, errors.Errorf("tokens %d+%d where %d was next", *ch.TokenIndex, n, c.delivered))
	}
	c.delivered += n
	c.finish = c.finish || ch.finished()
	c.counted = c.counted || ch.Usage != nil
	return deliver, nil
}

// acceptOther decides on a chunk without tokens. On a resumed stream the
// repeats of what the caller has are dropped.
func (c *cursor) acceptOther(ch chunk) action {
	repeat := c.preamble || c.delivered > 0
	switch {
	case ch.finished():
		repeat = c.finish
		c.finish = true
	case ch.Usage != nil:
		if c.hideUsage {
			return drop
		}
		repeat = c.counted
		c.counted = true
	default:
		c.preamble = true
	}
	if c.resumed && repeat {
		return drop
	}
	return deliver
}

func (ch chunk) finished() bool {
	for _, choice := range ch.Choices {
		if choice.FinishReason != nil {
			return true
		}
	}
	return false
}
