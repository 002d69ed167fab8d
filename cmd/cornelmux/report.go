package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"connectrpc.com/connect"
	"github.com/jessevdk/go-flags"
)

// Exit codes of every command.
const (
	exitDone        = 0
	exitFailed      = 1
	exitUsage       = 2
	exitConflict    = 3
	exitUnreachable = 4
)

// output says how a command prints its result.
type output struct {
	Output string `long:"output" choice:"text" choice:"json" default:"text" description:"format of the result"`
}

// print writes v as one line of JSON, or the text.
func (o output) print(v any, text string) error {
	if o.Output != "json" {
		fmt.Println(text)
		return nil
	}
	return json.NewEncoder(os.Stdout).Encode(v)
}

// callError is a refusal or failure of an entry VM.
type callError struct {
	code    connect.Code
	message string
}

// Error implements error.
func (e *callError) Error() string { return e.message }

// explain keeps the message of a connect error, which holds the result code, and its kind.
func explain(err error) error {
	var e *connect.Error
	if errors.As(err, &e) {
		return &callError{e.Code(), e.Message()}
	}
	return err
}

// report prints an error with what to do next, and returns the exit code.
func report(out, errs io.Writer, err error) int {
	if err == nil {
		return exitDone
	}
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		fmt.Fprintln(out, usage.Message)
		return exitDone
	}
	code, next := classify(err)
	fmt.Fprintln(errs, "cornelmux:", err)
	if next != "" {
		fmt.Fprintln(errs, "next:", next)
	}
	return code
}

// classify returns the exit code of an error and what to do next.
func classify(err error) (code int, next string) {
	var usage *flags.Error
	if errors.As(err, &usage) {
		return exitUsage, "run the command with --help"
	}
	var call *callError
	if !errors.As(err, &call) {
		return exitFailed, ""
	}
	switch call.code {
	case connect.CodeAborted:
		return exitConflict, "read the configuration again with `cornelmux get`, then submit the change again"
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded:
		return exitUnreachable, "try again with the same --change-id, or another VM's --address"
	case connect.CodeUnauthenticated:
		return exitFailed, "give the key that the VM's operator_key_file holds"
	case connect.CodeInvalidArgument:
		return exitFailed, "check the configuration with `cornelmux check --configuration`"
	default:
		return exitFailed, ""
	}
}
