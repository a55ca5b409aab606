package owner

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/httphead"
	"curranthold.example/curranthold/pkg/verdict"
)

const (
	// maxDiscardedBytes is the size of the largest body of a refusal that is read
	// so that its connection can be used again.
	maxDiscardedBytes = 4 << 10
	// maxDiscardTime bounds the time in which such a body is read.
	maxDiscardTime = 20 * time.Millisecond
	// smallAnswerBytes is the size up to which a body of declared length is read
	// without waiting for large ones, and undeclaredAnswerBytes the part of a body
	// of undeclared length.
	smallAnswerBytes      = 64 << 10
	undeclaredAnswerBytes = 16 << 10
	// defaultLargeAnswers is the default of Config.LargeAnswers.
	defaultLargeAnswers = 3
)

// roundTripError returns the error of a roundTrip that failed with err. If offered is
// set, the call may have run.
func roundTripError(ctx context.Context, err error, offered bool) error {
	v := verdict.MayHaveRun
	code := verdict.BackendBroken
	if !offered {
		v = verdict.NotRun
		code = verdict.BackendUnreachable
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		code = verdict.DeadlineExceeded
	case ctx.Err() != nil:
		code = verdict.Cancelled
	}
	failure := verdict.New(v, code, "backend server: %v", err)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return errors.Join(errConnectionRefused, failure)
	}
	return failure
}

// judge checks that the response is the result of the request; see [Judge]. The backend
// server is known to name requests once a response does.
func (o *Owner) judge(b *backend, r *call.Request, response *http.Response) error {
	echo := o.config.Codec.Echo(r, response)
	err := Judge(o.config.Codec, r, response, echo, b.echoes.Load())
	if isResponse(err) && echo == EchoSame {
		b.echoes.Store(true)
	}
	return err
}

// discard reads the body of a response that refuses the call, so that its connection
// can be used again, unless the body is too large or too slow. The caller must close
// the body.
func discard(response *http.Response, err error) {
	if verdict.Of(err) != verdict.NotRun {
		return
	}
	defer time.AfterFunc(maxDiscardTime, func() { _ = response.Body.Close() }).Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscardedBytes))
}

// readAnswer reads the response into the call's answer. It returns an error if the
// response is incomplete or too large.
func (o *Owner) readAnswer(ctx context.Context, c *activeCall, response *http.Response) error {
	body, err := o.readBody(ctx, response)
	if errors.Is(err, errAnswerTooLarge) {
		return verdict.New(verdict.Ran, verdict.AnswerTooLarge, "the answer exceeds %d bytes", o.config.AnswerBytes)
	}
	if err != nil {
		return roundTripError(ctx, err, true)
	}
	if err := invalidHead(httphead.CheckFields(response.Trailer)); err != nil {
		return err
	}
	c.answer.Status = response.StatusCode
	call.RemoveHopByHop(response.Header)
	if c.request.Method == http.MethodHead && response.ContentLength >= 0 {
		response.Header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	c.answer.Header = response.Header
	c.answer.Body = body
	return nil
}

// errAnswerTooLarge means that a body exceeds Config.AnswerBytes.
var errAnswerTooLarge = errors.New("owner: the answer is too large")

// readBody reads the body of a response. At most Config.LargeAnswers large bodies are
// read at once, so that bodies without end can't use up the node's memory together.
func (o *Owner) readBody(ctx context.Context, response *http.Response) ([]byte, error) {
	if response.Body == http.NoBody {
		return nil, nil // The header may state a length all the same, as for HEAD.
	}
	limit := o.config.AnswerBytes
	length := response.ContentLength
	switch {
	case length > limit:
		return nil, errAnswerTooLarge
	case length >= 0 && length <= smallAnswerBytes:
		return readDeclared(response.Body, length)
	case length >= 0:
		return o.awaitLarge(ctx, func(*bytes.Buffer) ([]byte, error) { return readDeclared(response.Body, length) })
	}
	start, err := io.ReadAll(io.LimitReader(response.Body, undeclaredAnswerBytes))
	if err != nil || len(start) < undeclaredAnswerBytes {
		return start, err
	}
	return o.awaitLarge(ctx, func(buffer *bytes.Buffer) ([]byte, error) {
		return readUndeclared(buffer, start, response.Body, limit)
	})
}

// awaitLarge calls read while fewer than Config.LargeAnswers other large bodies are
// being read. Read gets an empty buffer, which it must not keep.
func (o *Owner) awaitLarge(ctx context.Context, read func(*bytes.Buffer) ([]byte, error)) ([]byte, error) {
	select {
	case buffer := <-o.largeAnswers:
		defer func() { o.largeAnswers <- buffer }()
		buffer.Reset()
		return read(buffer)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// readDeclared reads a body of the given length.
func readDeclared(r io.Reader, length int64) ([]byte, error) {
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

// readUndeclared returns start and what follows it in r. It returns errAnswerTooLarge
// if that is more than limit bytes.
func readUndeclared(buffer *bytes.Buffer, start []byte, r io.Reader, limit int64) ([]byte, error) {
	buffer.Write(start)
	// Growing in two steps leaves less garbage than doubling.
	for _, size := range []int64{min(smallAnswerBytes, limit+1), limit + 1} {
		missing := size - int64(buffer.Len())
		buffer.Grow(int(missing) + bytes.MinRead)
		n, err := buffer.ReadFrom(io.LimitReader(r, missing))
		if err != nil {
			return nil, err
		}
		if n < missing {
			return bytes.Clone(buffer.Bytes()), nil
		}
	}
	return nil, errAnswerTooLarge
}
