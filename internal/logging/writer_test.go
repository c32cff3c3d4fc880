package logging

import (
	"bytes"
	"io"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

// TestUnreadPipeDoesNotBlock checks that logging proceeds at full speed within a
// bounded buffer while the output is not read, and that the number of dropped
// lines is logged once it is read.
// processorTime returns what this process has used of the processors.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var used unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &used); err != nil {
		t.Fatal(err)
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// stuckOutput accepts no write until it is released.
type stuckOutput struct{ released chan struct{} }

func (o stuckOutput) Write(p []byte) (int, error) {
	<-o.released
	return len(p), nil
}

// The clock of the bubble advances only while everything waits, so any wait in a line shows.
func TestLinesDoNotWaitForStuckOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := stuckOutput{released: make(chan struct{})}
		w := NewWriter(out)
		log, err := New(w, "info")
		if err != nil {
			t.Fatal(err)
		}
		for round := range 3 {
			began := time.Now()
			for i := range 5_000 {
				log.Info("request_done", zap.Int("number", i), zap.String("filler", strings.Repeat("x", 200)))
			}
			if took := time.Since(began); took != 0 {
				t.Errorf("the lines of round %d waited for %v", round, took)
			}
			time.Sleep(time.Second) // the writer is in its write from now on
		}
		close(out.released)
		if err := w.Close(2 * time.Second); err != nil {
			t.Fatal(err)
		}
	})
}

func TestUnreadPipeDoesNotBlock(t *testing.T) {
	r, pipe, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	w := NewWriter(pipe)
	log, err := New(w, "info")
	if err != nil {
		t.Fatal(err)
	}
	const lines = 20_000
	began := processorTime(t)
	for i := range lines {
		log.Info("request_done", zap.Int("number", i), zap.String("filler", strings.Repeat("x", 200)))
	}
	if took := processorTime(t) - began; took > 2*time.Second {
		t.Errorf("%d lines took %v of processor time", lines, took)
	}
	if w.Dropped() == 0 || w.Dropped() >= lines {
		t.Errorf("%d of %d lines dropped", w.Dropped(), lines)
	}
	got := make(chan string)
	go func() {
		data, _ := io.ReadAll(r)
		got <- string(data)
	}()
	if err := w.Close(2 * time.Second); err != nil {
		t.Fatal(err)
	}
	pipe.Close()
	if text := <-got; !strings.Contains(text, "event=log_lines_dropped") || !strings.Contains(text, "number=0 ") {
		t.Error("the dropped lines are not reported, or the first line is missing")
	}
}

func TestCloseWritesBufferedLines(t *testing.T) {
	var out syncBuffer
	w := NewWriter(&out)
	log, err := New(w, "info")
	if err != nil {
		t.Fatal(err)
	}
	log.Warn("a", Error(errors.New("plain words")), Error(nil))
	if err := w.Close(time.Second); err != nil {
		t.Fatal(err)
	}
	text := out.b.String()
	if !strings.Contains(text, `event=a error="plain words"`) || strings.Contains(text, "errorVerbose") || strings.Count(text, "\n") != 1 {
		t.Errorf("output %q", text)
	}
}
