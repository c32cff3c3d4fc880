package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/openai"
	"papayaspan.dev/papayaspan/internal/standin/engine"
	"papayaspan.dev/papayaspan/internal/standin/local"
)

// call is one request of a script, with the expected response. Its fields are set
// by the key=value words of the command.
type call struct {
	vm      string
	method  string
	path    string
	key     string
	idem    string
	body    string
	prompt  string
	repeat  int
	max     int
	stream  bool
	status  int           // expected; 0 accepts any
	verdict string        // expected; empty accepts any
	within  time.Duration // retry until the response is as expected, at most this long
	always  time.Duration // repeat for this long; each response must be as expected
	retry   bool          // a Retry-After header is required
	absent  string        // must not occur in the response body
}

// defaultMaxTokens is the number of output tokens of a request without max.
const defaultMaxTokens = 16

func parseCall(args []string) (call, error) {
	c := call{vm: args[0], key: local.CallerSecret, status: http.StatusOK, prompt: "short note", max: defaultMaxTokens}
	for _, word := range args[1:] {
		name, value, _ := strings.Cut(word, "=")
		if err := c.set(name, value); err != nil {
			return c, errors.Wrap(err, word)
		}
	}
	c.prompt += strings.Repeat(" and so on", c.repeat)
	if c.method == "" {
		c.method = http.MethodPost
	}
	if c.path == "" {
		c.path = openai.PathChatCompletions
	}
	return c, nil
}

func (c *call) set(name, value string) error {
	var err error
	switch name {
	case "method":
		c.method = value
	case "path":
		c.path = value
	case "key":
		c.key = value
	case "idem":
		c.idem = value
	case "body":
		c.body = value
	case "prompt":
		c.prompt = value
	case "max":
		c.max, err = strconv.Atoi(value)
	case "absent":
		c.absent = value
	case "repeat": // number of phrases appended to the prompt after all arguments are parsed
		c.repeat, err = strconv.Atoi(value)
	case "stream":
		c.stream = true
	case "retry":
		c.retry = true
	case "status":
		c.status, err = strconv.Atoi(value)
	case "verdict":
		c.verdict = value
	case "within":
		c.within, err = time.ParseDuration(value)
	case "always":
		c.always, err = time.ParseDuration(value)
	default:
		err = errors.New("unknown word")
	}
	return err
}

func (c call) payload() ([]byte, error) {
	if c.body != "" || c.path != openai.PathChatCompletions {
		return []byte(c.body), nil
	}
	content, err := json.Marshal(c.prompt)
	if err != nil {
		return nil, err
	}
	return json.Marshal(openai.Request{
		Model:     local.Model,
		Messages:  []openai.Message{{Role: "user", Content: content}},
		MaxTokens: c.max,
		Stream:    c.stream,
	})
}

// run sends the request until the response is as expected, or repeatedly for the
// duration always.
func (c call) run(addr string) (string, error) {
	if c.always > 0 {
		for end := time.Now().Add(c.always); time.Now().Before(end); {
			if body, err := c.once(addr); err != nil {
				return body, err
			}
		}
		return "", nil
	}
	var body string
	err := until(c.within, func() error {
		var err error
		body, err = c.once(addr)
		return err
	})
	return body, err
}

// once sends the request once and checks the response.
func (c call) once(addr string) (string, error) {
	payload, err := c.payload()
	if err != nil {
		return "", err
	}
	req, err := http.NewRequest(c.method, "http://"+addr+c.path, bytes.NewReader(payload))
	if err != nil {
		return "", err
	}
	req.GetBody = nil
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	if c.idem != "" {
		req.Header.Set("Idempotency-Key", c.idem)
	}
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return string(body), errors.Wrap(err, "answer cut")
	}
	return string(body), c.check(resp, string(body))
}

func (c call) check(resp *http.Response, body string) error {
	if c.status != 0 && resp.StatusCode != c.status {
		return errors.Errorf("status %d, want %d: %s", resp.StatusCode, c.status, body)
	}
	if c.retry && resp.Header.Get("Retry-After") == "" {
		return errors.Errorf("no Retry-After: %s", body)
	}
	if c.absent != "" && strings.Contains(body, c.absent) {
		return errors.Errorf("%q in the answer: %s", c.absent, body)
	}
	if c.verdict != "" && !strings.Contains(body, fmt.Sprintf(`"verdict":%q`, c.verdict)) {
		return errors.Errorf("no verdict %q: %s", c.verdict, body)
	}
	if c.stream && resp.StatusCode == http.StatusOK {
		return c.checkStream(body)
	}
	return nil
}

// checkStream compares a streamed response, token by token, with the output of the
// stand-in engine for this prompt.
func (c call) checkStream(body string) error {
	want := openai.Request{Messages: []openai.Message{{Role: "user", Content: json.RawMessage(strconv.Quote(c.prompt))}}}
	text := want.PromptText()
	next := 0
	done := false
	for _, line := range strings.Split(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == openai.Done {
			done = true
			continue
		}
		var chunk openai.Completion
		if err := json.Unmarshal([]byte(data), &chunk); err != nil || done {
			return errors.Errorf("event %q, after the end: %t", data, done)
		}
		if len(chunk.Choices) == 0 || chunk.Choices[0].Delta.Content == "" {
			continue
		}
		if got := chunk.Choices[0].Delta.Content; got != engine.Token(text, next) {
			return errors.Errorf("token %d is %q, want %q", next, got, engine.Token(text, next))
		}
		next++
	}
	if next != c.max || !done {
		return errors.Errorf("%d tokens of %d, ended: %t", next, c.max, done)
	}
	return nil
}
