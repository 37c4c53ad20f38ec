// Package guard keeps a panic in one request or call from ending the process.
package guard

import (
	"errors"
	"fmt"
	"runtime/debug"
)

// Catch ends a panic when deferred, and calls handle with it and its stack. Without a panic it does
// nothing.
func Catch(handle func(err error)) {
	if p := recover(); p != nil {
		handle(&PanicError{Value: p, Stack: debug.Stack()})
	}
}

// LogFields returns the fields of a log line about an error that Catch passed on.
func LogFields(err error) []any {
	fields := []any{"err", err}
	var p *PanicError
	if errors.As(err, &p) {
		fields = append(fields, "stack", string(p.Stack))
	}
	return fields
}

// PanicError is a panic that was caught.
type PanicError struct {
	Value any
	Stack []byte
}

// Error returns the panic's value. The stack belongs into the log, not into an answer.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v", e.Value) }
