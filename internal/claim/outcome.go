package claim

import (
	"context"
	"net/http"
	"time"

	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// objectPrefix is the prefix of the names of objects that hold large response
// bodies.
const objectPrefix = "claim-outcome/"

// storeBody stores a body in the outcome or, if it is large, as an object. The
// object is named after the attempt's nonce and never rewritten. Failed writes
// are retried while the platform is unavailable; maxPendingBodyBytes bounds the
// memory for this.
func (s *Store) storeBody(o *Outcome, name string, body []byte) {
	size := int64(len(body))
	if len(body) <= s.settings.InlineBytes {
		o.Body = body
		return
	}
	defer s.pendingBodyBytes.Add(-size)
	if s.pendingBodyBytes.Add(size) > maxPendingBodyBytes || len(body) > s.settings.ObjectBytes {
		o.BodyDropped = true
		return
	}
	o.Object = name
	end := s.now().Add(recordTimeout)
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

// Body returns the body of a stored outcome. Every error is a *verdict.Error
// that states that the request ran.
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
			RetryAfter: outageRetryAfter,
			Cause:      err,
		}
	}
	return body, nil
}
