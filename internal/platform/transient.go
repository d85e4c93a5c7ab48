package platform

import (
	"context"
	"errors"
	"os"
	"slices"
	"syscall"
	"time"
)

// Retries after transient errors of system calls.
const (
	retryInterval = 20 * time.Millisecond
	readTimeout   = time.Second // how long ReadFile retries
)

// transientErrors lists errors that a system call may return temporarily even though its arguments are valid.
var transientErrors = []syscall.Errno{
	syscall.EINTR, syscall.EAGAIN, syscall.ENFILE, syscall.EMFILE, syscall.ENOMEM, syscall.ENOBUFS, syscall.EIO,
	syscall.ESTALE, syscall.EADDRINUSE, syscall.EADDRNOTAVAIL,
}

// IsTransient reports whether an error is in transientErrors, so that a retry may succeed.
func IsTransient(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && slices.Contains(transientErrors, number)
}

// Retry calls do, and repeats it after transient errors until ctx ends or the timeout has passed. It returns do's last
// error.
func Retry(ctx context.Context, timeout time.Duration, do func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := do()
		if err == nil || !IsTransient(err) || !time.Now().Before(deadline) {
			return err
		}
		timer := time.NewTimer(retryInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return err
		}
	}
}

// ReadFile reads a file like os.ReadFile, and retries after transient errors.
func ReadFile(name string) (data []byte, err error) {
	err = Retry(context.Background(), readTimeout, func() error {
		data, err = os.ReadFile(name)
		return err
	})
	return data, err
}
