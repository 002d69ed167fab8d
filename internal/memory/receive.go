package memory

import (
	"context"
	"errors"
	"io"
	"slices"
)

// ErrTooLong reports a body over its limit.
var ErrTooLong = errors.New("the body exceeds the limit")

// readBytes is how much of a body is read at once.
const readBytes = 64 << 10

// Body is a body that hasn't been read. Length is -1 if it isn't known; Limit is that of the length, in bytes. Granted is called once
// there is memory for all of a large body.
type Body struct {
	Reader        io.Reader
	Length, Limit int64
	Granted       func()
}

// Room is the memory that a body holds.
type Room interface {
	// Reserve waits until the body may hold n bytes in all. It fails with ErrFull, or with the cause of ctx.
	Reserve(ctx context.Context, n int64) error
	// Shrink gives back what is beyond n bytes.
	Shrink(n int64)
}

// Receive returns a whole body, which it reads into memory that it has reserved before. The front ends of both programs call it.
func Receive(ctx context.Context, b Body, room Room) ([]byte, error) {
	switch {
	case b.Length > b.Limit:
		return nil, ErrTooLong
	case b.Length < 0:
		return receiveChunks(ctx, b, room)
	}
	if err := room.Reserve(ctx, b.Length); err != nil {
		return nil, err
	}
	if b.Length > SmallBytes {
		b.Granted()
	}
	data, err := fill(make([]byte, 0, b.Length), b.Reader)
	if err == nil && int64(len(data)) < b.Length {
		err = io.ErrUnexpectedEOF
	}
	return data, err
}

// receiveChunks reads a body whose length isn't known: into a small buffer at first, and then into one for the longest body. One that
// is much shorter is copied, for which memory was reserved too.
func receiveChunks(ctx context.Context, b Body, room Room) ([]byte, error) {
	var data []byte
	for _, size := range []int64{FreeBytes, SmallBytes, b.Limit} {
		size = min(size, b.Limit)
		if err := room.Reserve(ctx, longestClaim(size)); err != nil {
			return nil, err
		}
		if size > SmallBytes {
			b.Granted()
		}
		larger := make([]byte, len(data), size)
		copy(larger, data)
		var err error
		if data, err = fill(larger, b.Reader); err != nil {
			return nil, err
		}
		if int64(len(data)) < size {
			return shrink(data, room), nil
		}
	}
	switch n, err := io.ReadFull(b.Reader, make([]byte, 1)); {
	case n > 0:
		return nil, ErrTooLong
	case !errors.Is(err, io.EOF):
		return nil, err
	}
	return shrink(data, room), nil
}

// longestClaim returns the memory to read a body of at most size bytes that may be copied at the end.
func longestClaim(size int64) int64 {
	if size <= SmallBytes {
		return size
	}
	return size + size/2
}

// shrink returns data in a buffer that isn't much longer, and gives the rest of the memory back.
func shrink(data []byte, room Room) []byte {
	if len(data) <= cap(data)/2 {
		data = slices.Clone(data)
	}
	room.Shrink(int64(cap(data)))
	return data
}

// fill reads until data is full or the body ends.
func fill(data []byte, r io.Reader) ([]byte, error) {
	for len(data) < cap(data) {
		n, err := r.Read(data[len(data):min(len(data)+readBytes, cap(data))])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, err
		}
	}
	return data, nil
}
