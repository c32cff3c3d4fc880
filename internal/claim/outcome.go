package claim

import (
	"context"
	"net/http"
	"time"

	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// objectPrefix starts the names of the objects that hold large answers.
const objectPrefix = "claim-outcome/"

// keepBody stores a body in the outcome or, if it is large, as an object that
// is named by the attempt's nonce and never rewritten. While the platform is
// down it tries again; the memory that this may take is bounded.
func (s *Store) keepBody(o *Outcome, name string, body []byte) {
	size := int64(len(body))
	if len(body) <= s.settings.InlineBytes {
		o.Body = body
		return
	}
	defer s.bodyBytes.Add(-size)
	if s.bodyBytes.Add(size) > maxBodyBytes || len(body) > s.settings.ObjectBytes {
		o.BodyDropped = true
		return
	}
	o.Object = name
	end := s.now().Add(recordTime)
	for pause := retryPause; s.now().Before(end); pause = min(2*pause, maxRecordPause) {
		if s.putBody(name, body) == nil {
			return
		}
		time.Sleep(pause)
	}
	o.Object, o.BodyDropped = "", true
}

func (s *Store) putBody(name string, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), platform.CallTimeout)
	defer cancel()
	return s.objects.Put(ctx, name, body)
}

// Body returns the body of a kept outcome. Every error is a *verdict.Error
// that says that the request ran.
func (s *Store) Body(ctx context.Context, o *Outcome) ([]byte, error) {
	if o.BodyDropped {
		return nil, &verdict.Error{
			Verdict: verdict.Ran,
			Status:  http.StatusConflict,
			Code:    "outcome_not_kept",
			Message: "the request ran; its answer was too large to be kept",
		}
	}
	if o.Object == "" {
		return o.Body, nil
	}
	body, err := s.objects.Get(ctx, o.Object)
	if err != nil || len(body) != o.Size {
		return nil, &verdict.Error{
			Verdict:    verdict.Ran,
			Status:     http.StatusServiceUnavailable,
			Code:       "outcome_unavailable",
			Message:    "the request ran; its answer cannot be read now",
			RetryAfter: outagePause,
			Cause:      err,
		}
	}
	return body, nil
}
