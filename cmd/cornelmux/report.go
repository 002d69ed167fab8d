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

// Exit codes of all commands; exitMeanings says what each means.
const (
	exitDone        = 0
	exitFailed      = 1
	exitUsage       = 2
	exitConflict    = 3
	exitUnreachable = 4
)

// outputOptions selects the format of a command's result.
type outputOptions struct {
	Output string `long:"output" choice:"text" choice:"json" default:"text" description:"format of the result"`
}

// print writes v as one line of JSON to standard output, or else the text.
func (o outputOptions) print(v any, text string) error {
	if o.Output != "json" {
		fmt.Println(text)
		return nil
	}
	return json.NewEncoder(os.Stdout).Encode(v)
}

// callError is an error of a control call, returned by the VM or caused by a failed connection.
type callError struct {
	code connect.Code
	// message leaves out the prefix that connect adds. It starts with the VM's result code, unless the connection failed
	// or the VM refused the key.
	message string
}

// Error implements error.
func (e *callError) Error() string { return e.message }

// toCallError turns a connect error into a callError with the same code.
// Other errors are returned unchanged.
func toCallError(err error) error {
	var e *connect.Error
	if errors.As(err, &e) {
		return &callError{e.Code(), e.Message()}
	}
	return err
}

// report prints an error to errs with a hint on what to do next, and returns the exit code; main calls it last.
// A request for help comes as an error too, and is printed to out.
func report(out, errs io.Writer, err error) int {
	if err == nil {
		return exitDone
	}
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		fmt.Fprintln(out, usage.Message)
		return exitDone
	}
	code, hint := exitCodeAndHint(err)
	fmt.Fprintln(errs, "cornelmux:", err)
	if hint != "" {
		fmt.Fprintln(errs, "next:", hint)
	}
	return code
}

// exitCodeAndHint returns the exit code for an error and what to do next, for report; the hint may be empty.
func exitCodeAndHint(err error) (code int, hint string) {
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
