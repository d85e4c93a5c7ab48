package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"swiftdeal/internal/asynclog"
	"swiftdeal/internal/config"
	"swiftdeal/internal/handover"
	"swiftdeal/internal/node"
	"swiftdeal/internal/platform"
)

const (
	logQueueLines   = 4096                   // log lines buffered while the reader of the log is slow
	logQueueShare   = 16                     // the part of the memory that these may take: one in so many bytes
	logFlushTimeout = 200 * time.Millisecond // limit for writing the buffered lines when the process exits
)

// serveCommand runs a node.
type serveCommand struct {
	LogLevel string `name:"log-level" enum:"debug,info,warn,error" default:"info" help:"What the log holds: ${enum}. At debug, every request and try."`
	LogForm  string `name:"log-form" enum:"text,json" default:"text" help:"The form of its lines: ${enum}."`
	Fleet    string `name:"fleet" placeholder:"FILE" help:"Take part in the fleet that this file describes (TOML)."`
}

// Run serves until SIGTERM or SIGINT, and then drains the node. SIGHUP reloads the configuration file.
func (s serveCommand) Run() error {
	// Handled before anything else, since an early SIGHUP would kill the process. One pending signal is enough: a
	// reload covers all signals received since the previous one.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // the process must not die when the reader of its log exits
	c, faultyFile := s.loadConfig(platform.ReadFile)
	var found takeover
	if faultyFile != nil {
		if c, found = s.configOfPredecessor(); c == nil {
			return faultyFile
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	sink := asynclog.New(os.Stderr, logQueueLines, c.Limits.MemoryBytes/logQueueShare)
	defer sink.Close(logFlushTimeout)
	log, err := s.newLogger(sink)
	if err != nil {
		return err
	}
	listeners, err := openListeners(ctx, c, found, log)
	if err != nil {
		return err
	}
	if faultyFile == nil {
		c, faultyFile = s.replaceRejected(c, listeners.Predecessor)
	}
	if faultyFile != nil {
		log.Error("configuration rejected", "error", faultyFile)
	}
	runtime.GOMAXPROCS(c.Limits.Cores)
	debug.SetMemoryLimit(c.Limits.MemoryBytes)
	reloads := make(chan node.Reload)
	listeners.Reloads = reloads
	go reloadOnSignal(hangups, c, reloads)
	return node.Serve(ctx, platform.Real(), c, listeners, log)
}

// loadConfig reads the node's configuration file, and the fleet's file if --fleet names one.
func (s serveCommand) loadConfig(readFile func(string) ([]byte, error)) (*config.Config, error) {
	c, err := config.Load(os.Getenv, readFile)
	if err != nil {
		return nil, err
	}
	c.ProgramVersion = version
	if s.Fleet != "" {
		if c.Fleet, err = config.LoadFleet(s.Fleet, os.ReadFile); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// configOfPredecessor finds the process that this one replaces and returns the configuration in force there. It returns nil if
// there is none, or if it does not tell its configuration. A process whose file is faulty would otherwise exit, while the one that
// it is to replace, which has rejected the file or never read it, is told to end.
func (s serveCommand) configOfPredecessor() (*config.Config, takeover) {
	listen := os.Getenv("GW_LISTEN")
	if listen == "" || os.Getenv("GW_CONTROL") == "" {
		return nil, takeover{}
	}
	found, err := dialPredecessor(listen, config.HandoverMessageTimeout)
	if err != nil {
		return nil, takeover{}
	}
	c, err := s.loadConfig(textOf(found.predecessor))
	if err != nil {
		found.predecessor.Link.Close()
		found.clients.Close()
		return nil, takeover{}
	}
	return c, found
}

// errRejected means that the process which this one replaces has rejected the configuration file.
var errRejected = errors.New("the process that is replaced has rejected this file; its configuration stays in force")

// replaceRejected returns the configuration in force at the predecessor, and an error, if the predecessor has rejected the file that
// this process has read: what is missing in it would be given defaults in a start. Otherwise it returns c.
func (s serveCommand) replaceRejected(c *config.Config, predecessor *handover.Predecessor) (*config.Config, error) {
	if predecessor == nil || predecessor.RejectedFile != handover.FileHash(c.FileText()) {
		return c, nil
	}
	inForce, err := s.loadConfig(textOf(predecessor))
	if err != nil {
		return c, nil
	}
	return inForce, &config.FileError{Path: os.Getenv("GW_CONFIG"), Err: errRejected}
}

// textOf returns a function that reads the configuration file in force at a predecessor.
func textOf(predecessor *handover.Predecessor) func(string) ([]byte, error) {
	return func(string) ([]byte, error) { return predecessor.ConfigFile, nil }
}

// newLogger returns a logger with the format and level that the flags select.
func (s serveCommand) newLogger(out io.Writer) (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		return nil, fmt.Errorf("log-level: %w", err)
	}
	options := &slog.HandlerOptions{Level: level}
	if s.LogForm == "json" {
		return slog.New(slog.NewJSONHandler(out, options)), nil
	}
	return slog.New(slog.NewTextHandler(out, options)), nil
}

// reloadOnSignal reloads the configuration on each signal and sends the result to reloads. An invalid configuration
// changes nothing: the node keeps the running one, and the error names the key.
func reloadOnSignal(hangups <-chan os.Signal, running *config.Config, reloads chan<- node.Reload) {
	for range hangups {
		var text []byte
		c, err := config.Reload(os.Getenv, func(path string) (read []byte, err error) {
			text, err = platform.ReadFile(path)
			return text, err
		}, running)
		if err == nil {
			running = c
		}
		reloads <- node.Reload{Config: c, Err: err, Text: text}
	}
}
