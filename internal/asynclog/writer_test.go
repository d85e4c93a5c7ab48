package asynclog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// gatedWriter is a writer that blocks while its mutex is held.
type gatedWriter struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (g *gatedWriter) Write(p []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(p)
}

// Lines must be written in order. Lines that do not fit in the queue must be dropped without blocking, and their
// number reported.
func TestWriteDoesNotBlock(t *testing.T) {
	g := &gatedWriter{}
	w := New(g, 3, 1<<10)
	g.mu.Lock()
	for range 100 {
		w.Write([]byte("line\n"))
	}
	if n := w.Dropped(); n < 96 || n > 97 { // one line may be in progress
		t.Errorf("%d lines dropped, want 96 or 97", n)
	}
	g.mu.Unlock()
	w.Close(time.Hour)
	text := g.text.String()
	if n := strings.Count(text, "line\n"); n != 100-int(w.Dropped()) || !strings.Contains(text, "dropped since the start: 9") {
		t.Errorf("%d lines written, or no report of the dropped ones: %q", n, text)
	}
}

// Guards against long lines, such as whole endpoint lists at debug level, that fill the memory while nobody reads the log: the
// queue is bounded by bytes too. Once it has been written, lines are taken again.
func TestQueuedBytesAreBounded(t *testing.T) {
	const line, fitting = 1 << 10, 3
	g := &gatedWriter{}
	w := New(g, 1000, fitting*line)
	g.mu.Lock()
	for range 100 {
		w.Write(bytes.Repeat([]byte("x"), line))
	}
	if n := w.Dropped(); n != 100-fitting {
		t.Errorf("%d lines dropped, want %d", n, 100-fitting)
	}
	g.mu.Unlock()
	for w.queuedBytes.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	w.Write([]byte("later\n"))
	w.Close(time.Hour)
	if n := strings.Count(g.text.String(), "x"); n != fitting*line || !strings.Contains(g.text.String(), "later") {
		t.Errorf("%d bytes of long lines were written, or no line afterwards", n)
	}
}

// Close must not wait longer than its timeout for a target that blocks.
func TestCloseTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unblock := make(chan struct{})
		w := New(blockedWriter{unblock}, 3, 1<<10)
		w.Write([]byte("line\n"))
		start := time.Now()
		w.Close(time.Second)
		if took := time.Since(start); took != time.Second {
			t.Errorf("Close took %v, want 1s", took)
		}
		close(unblock)
	})
}

type blockedWriter struct{ until chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.until
	return len(p), nil
}
