package router

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/claim"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/dispatch"
	"papayaspan.dev/papayaspan/internal/openai"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// bytesPerToken estimates the tokens of a prompt before an engine counts them.
const bytesPerToken = 4

// completion is the state of one model request.
type completion struct {
	id        string
	caller    caller
	model     config.Model
	body      []byte
	parsed    openai.Request
	class     config.Class
	view      *config.View
	prompt    string
	maxOutput int
}

func (c *completion) promptTokens() float64 { return float64(len(c.prompt))/bytesPerToken + 1 }

func (r *Router) serveCompletion(w http.ResponseWriter, req *http.Request) {
	id := requestID(req)
	r.stats.requests.Mark(1)
	c, refusal := r.parseCompletion(w, req, id)
	if refusal != nil {
		r.refuse(w, id, refusal)
		return
	}
	grant, err := r.opts.Admitter.Admit(req.Context(), Admission{
		RequestID: id,
		Account:   c.caller.account,
		Class:     c.class,
		Model:     c.model.Name,
		Tokens:    c.promptTokens() + float64(c.maxOutput),
	})
	if err != nil {
		r.refuseAdmission(w, req, claim.Key{Account: c.caller.account.ID}, c.body, verdict.AsError(err))
		return
	}
	if refusal := r.recheckKey(c.caller); refusal != nil {
		grant.Done(0)
		r.refuse(w, id, refusal)
		return
	}
	r.dispatchCompletion(w, req, c, grant)
}

func (r *Router) dispatchCompletion(w http.ResponseWriter, req *http.Request, c *completion, grant Grant) {
	claimed, ok := r.claimRequest(w, req, claim.Key{Account: c.caller.account.ID}, c.body, true)
	if !ok {
		grant.Done(0)
		return
	}
	picker := r.opts.Balancer.Engine(Prompt{
		RequestID:      c.id,
		Account:        c.caller.account.ID,
		Model:          c.model.Name,
		WeightsVersion: c.model.WeightsVersion,
		Text:           c.prompt,
		MaxTokens:      c.maxOutput,
		Class:          c.class,
		View:           c.view,
	})
	picker = r.withPromptGuards(picker, c)
	sink := dispatch.NewHTTPSink(w, r.opts.Settings.Limits.WriteTimeout.Std())
	ctx, cancel := claimed.dispatchContext(req.Context(), r.opts.Settings.Limits.RequestTimeout.Std())
	defer cancel()
	out, err := r.opts.Dispatcher.Do(ctx, dispatch.Request{
		ID:         c.id,
		Account:    c.caller.account.ID,
		Model:      c.model.Name,
		Method:     http.MethodPost,
		Path:       req.URL.Path,
		Header:     dispatch.SanitizeRequest(req.Header, bearer(req)),
		Body:       c.body,
		Stream:     c.parsed.Stream,
		Idempotent: true, // A completion has no effect besides its response.
		MaxTokens:  c.maxOutput,
		CacheSalt:  CacheSalt(c.caller.account.ID, c.model),
		Hints:      dispatch.Hints{Priority: c.class.Rank()},
	}, claimed.checkedPicker(picker), claimed.recordingSink(sink))
	claimed.finish(out.Verdict, err)
	grant.Done(usedTokens(c, out))
	r.finish(c.id, string(c.caller.account.ID), c.model.Name, out, err)
	if err != nil {
		sink.Fail(verdict.AsError(err))
	}
}

// usedTokens returns the tokens that the request is charged: none if it did not
// run, otherwise those that the engine counted. Without the engine's count they
// are the estimated prompt plus the delivered output, or plus the output limit if
// it is unknown whether the request ran.
func usedTokens(c *completion, out dispatch.Outcome) float64 {
	if out.Verdict == verdict.NotRun {
		return 0
	}
	if out.Usage.PromptTokens > 0 {
		return float64(out.Usage.PromptTokens + out.Usage.CompletionTokens)
	}
	if out.Verdict == verdict.Ran {
		return c.promptTokens() + float64(out.Delivered)
	}
	return c.promptTokens() + float64(c.maxOutput)
}

// finish logs the end of a dispatched request and updates the metrics.
func (r *Router) finish(id, account, target string, out dispatch.Outcome, err error) {
	fields := []zap.Field{
		zap.String("request_id", id),
		zap.String("account", account),
		zap.String("target", target),
		zap.String("server", string(out.Server)),
		zap.Stringer("verdict", out.Verdict),
		zap.Int("status", out.Status),
		zap.Int("attempts", out.Attempts),
		zap.Int("prompt_tokens", out.Usage.PromptTokens),
		zap.Int("cached_tokens", out.Usage.CachedTokens),
		zap.Int("output_tokens", out.Delivered),
		zap.Duration("first_byte", out.FirstByte),
	}
	if err != nil {
		r.stats.failed.Mark(1)
		r.opts.Log.Warn("request_failed", append(fields, zap.Error(err))...)
		return
	}
	r.stats.firstToken.Update(out.FirstByte.Milliseconds())
	r.opts.Log.Info("request_done", fields...)
}

func (r *Router) parseCompletion(w http.ResponseWriter, req *http.Request, id string) (*completion, *verdict.Error) {
	view := r.View()
	identity, refusal := r.authenticate(view, req)
	if refusal != nil {
		return nil, refusal
	}
	body, refusal := r.readBody(w, req)
	if refusal != nil {
		return nil, refusal
	}
	if refusal := checkDepth(body, r.opts.Settings.Limits.MaxJSONDepth); refusal != nil {
		return nil, refusal
	}
	if refusal := checkKeyNotInRequest(req, body); refusal != nil {
		return nil, refusal
	}
	c := &completion{id: id, caller: identity, body: body, view: view}
	if err := json.Unmarshal(body, &c.parsed); err != nil {
		return nil, verdict.Refuse(http.StatusBadRequest, "malformed_request", "the body is not a completion request")
	}
	model, ok := view.Models[c.parsed.Model]
	if !ok {
		return nil, verdict.Refuse(http.StatusNotFound, "model_unknown", "the model "+strconv.Quote(c.parsed.Model)+" is not known")
	}
	c.model = model
	c.prompt = c.parsed.PromptText()
	c.maxOutput = c.parsed.OutputLimit(r.opts.Settings.Routing.DefaultOutputTokens)
	c.class, refusal = requestClass(req)
	return c, refusal
}

// HeaderClass is the header with the priority class of a model request.
const HeaderClass = "X-Priority-Class"

// requestClass returns the priority class of the request's header, by default
// interactive.
func requestClass(req *http.Request) (config.Class, *verdict.Error) {
	class := config.Class(strings.ToLower(req.Header.Get(HeaderClass)))
	if class == "" {
		return config.Interactive, nil
	}
	if !slices.Contains([]config.Class{config.Lookup, config.Booking, config.Interactive, config.Review}, class) {
		return "", verdict.Refuse(http.StatusBadRequest, "class_unknown", "the priority class is not one of lookup, booking, interactive, review")
	}
	return class, nil
}

func (r *Router) serveModels(w http.ResponseWriter, req *http.Request) {
	view := r.View()
	if _, refusal := r.authenticate(view, req); refusal != nil {
		r.refuse(w, requestID(req), refusal)
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for name := range view.Models {
		list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "papayaspan"})
	}
	slices.SortFunc(list.Data, func(a, b modelEntry) int { return strings.Compare(a.ID, b.ID) })
	writeJSON(w, http.StatusOK, list)
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}
