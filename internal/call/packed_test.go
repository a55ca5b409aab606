package call

import (
	"bytes"
	"encoding/gob"
	"errors"
	"net/http"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"curranthold.example/curranthold/internal/admission"
	"curranthold.example/curranthold/pkg/object"
	"curranthold.example/curranthold/pkg/verdict"
)

// fill sets every field of a struct to a random value other than the zero value, so
// that a field that is not encoded shows.
func fill(t *rapid.T, v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(t, v.Field(i))
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(t, v.Elem())
	case reflect.String:
		v.SetString(rapid.StringN(1, 40, -1).Draw(t, "text"))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(rapid.Float64Range(0.1, 1e9).Draw(t, "float"))
	case reflect.Uint8:
		v.SetUint(rapid.Uint64Range(1, 100).Draw(t, "small"))
	case reflect.Uint64:
		v.SetUint(rapid.Uint64Min(1).Draw(t, "unsigned"))
	case reflect.Int, reflect.Int64:
		v.SetInt(rapid.Int64Range(1, 1<<40).Draw(t, "integer"))
	case reflect.Slice:
		v.SetBytes(rapid.SliceOfN(rapid.Byte(), 1, 100).Draw(t, "body"))
	case reflect.Map:
		h := rapid.MapOfN(rapid.StringN(1, 9, -1), rapid.SliceOfN(rapid.String(), 1, 3), 1, 5).Draw(t, "header")
		v.Set(reflect.ValueOf(http.Header(h)))
	default:
		t.Fatalf("a field of kind %v is not filled", v.Kind())
	}
}

// TestPackedRoundTrip packs and unpacks messages in which all fields are set.
func TestPackedRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var request Request
		fill(rt, reflect.ValueOf(&request).Elem())
		unpacked, err := request.Pack().Request()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, *unpacked, qt.DeepEquals, request)
		var answer Answer
		fill(rt, reflect.ValueOf(&answer).Elem())
		unpackedAnswer, err := answer.Pack().Answer()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, *unpackedAnswer, qt.DeepEquals, answer)
	})
}

// TestPackedZero packs and unpacks messages without content.
func TestPackedZero(t *testing.T) {
	request, err := new(Request).Pack().Request()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, *request, qt.DeepEquals, Request{})
	answer, err := new(Answer).Pack().Answer()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, *answer, qt.DeepEquals, Answer{})
}

// TestPackedCut cuts messages off at every byte. A part must not be decoded.
func TestPackedCut(t *testing.T) {
	request, answer := sampleRequest().Pack(), sampleAnswer().Pack()
	for n := range request.Data {
		_, err := Packed{request.Data[:n]}.Request()
		qt.Check(t, err, qt.ErrorIs, ErrMalformed)
	}
	for n := range answer.Data {
		if n == len(answer.Data)-addedAnswerBytes {
			continue // TestPackedByEarlierBuild decodes this one.
		}
		_, err := Packed{answer.Data[:n]}.Answer()
		qt.Check(t, err, qt.ErrorIs, ErrMalformed)
	}
}

// addedAnswerBytes is the size of the fields of sampleAnswer that the first build with
// packed messages doesn't have.
const addedAnswerBytes = 1

// TestPackedByEarlierBuild decodes an answer without the fields that later builds added.
// During an upgrade, nodes of both builds answer each other.
func TestPackedByEarlierBuild(t *testing.T) {
	data := sampleAnswer().Pack().Data
	answer, err := Packed{data[:len(data)-addedAnswerBytes]}.Answer()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, answer, qt.DeepEquals, sampleAnswer())
}

// TestPackedExtended appends fields of a later version, which are ignored.
func TestPackedExtended(t *testing.T) {
	want := sampleRequest()
	want.AdmitProbability, want.DemandCounted = 0.25, true
	request, err := Packed{append(want.Pack().Data, 1, 2, 3)}.Request()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, request, qt.DeepEquals, want)
}

// TestPackedEarlier cuts off the fields that the first version lacks, as a node of an
// earlier build sends a message. The rest must be decoded, with these fields zero.
// Without these fields a message must be as the first version packs it.
func TestPackedEarlier(t *testing.T) {
	request, answer := sampleRequest(), sampleAnswer()
	first, firstAnswer := request.Pack().Data, answer.Pack().Data
	request.AdmitProbability, request.DemandCounted = 0.25, true
	answer.Load.Levelled, answer.Load.Closed, answer.ClosedBeneath, answer.RefusedByLevel = true, 1.5, 2.5, true
	extended, extendedAnswer := request.Pack().Data, answer.Pack().Data
	qt.Check(t, len(extended) > len(first) && len(extendedAnswer) > len(firstAnswer), qt.IsTrue)
	unpacked, err := Packed{extended[:len(first)]}.Request()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, unpacked, qt.DeepEquals, sampleRequest())
	unpackedAnswer, err := Packed{extendedAnswer[:len(firstAnswer)]}.Answer()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, unpackedAnswer, qt.DeepEquals, sampleAnswer())
	for n := len(first) + 1; n < len(extended); n++ {
		_, err := Packed{extended[:n]}.Request()
		qt.Check(t, err, qt.ErrorIs, ErrMalformed)
	}
	for n := len(firstAnswer) + 1; n < len(extendedAnswer); n++ {
		_, err := Packed{extendedAnswer[:n]}.Answer()
		qt.Check(t, err, qt.ErrorIs, ErrMalformed)
	}
}

// TestPackedFlags guards against flags of rollouts that nodes of builds without them can't
// pass over: they must not make a message longer, nor change anything but its byte of flags.
func TestPackedFlags(t *testing.T) {
	request, answer := sampleRequest(), sampleAnswer()
	request.Header, answer.Header = nil, nil // The order of headers in a message differs.
	plainRequest, plainAnswer := request.Pack().Data, answer.Pack().Data
	request.Candidate, answer.Load.Superseded = true, true
	checkFlags(t, plainRequest, request.Pack().Data, len(plainRequest)-1)
	checkFlags(t, plainAnswer, answer.Pack().Data, len(plainAnswer)-1-addedAnswerBytes)
}

// checkFlags checks that marked is plain but for new flags in the byte at flags.
func checkFlags(t *testing.T, plain, marked []byte, flags int) {
	qt.Assert(t, marked, qt.HasLen, len(plain))
	qt.Check(t, marked[flags]&0b11, qt.Equals, plain[flags]&0b11)
	qt.Check(t, marked[:flags], qt.DeepEquals, plain[:flags])
	qt.Check(t, marked[flags+1:], qt.DeepEquals, plain[flags+1:])
}

func FuzzPacked(f *testing.F) {
	f.Add(sampleRequest().Pack().Data)
	f.Add(sampleAnswer().Pack().Data)
	f.Add([]byte{packedVersion, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		if request, err := (Packed{data}).Request(); err == nil {
			again, err := request.Pack().Request()
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, again.ID, qt.Equals, request.ID)
		}
		if answer, err := (Packed{data}).Answer(); err == nil {
			again, err := answer.Pack().Answer()
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, again.Body, qt.DeepEquals, answer.Body)
		}
	})
}

func sampleRequest() *Request {
	return &Request{
		ID: "host-0123456789abcdef0123456789/1", RequestID: "0123456789abcdef", Service: "service-17",
		Method: http.MethodGet, Target: "/lookups/today?tower=17", Host: "lookups.example",
		Header:  http.Header{"Accept": {"application/json"}, "Content-Type": {"application/json"}, "X-Trace": {"0123"}},
		Account: "account-17", KeyName: "key-17", Weight: 100, Route: "lookups", CallerService: "service-3",
		Urgency: object.Normal, Remaining: 900 * time.Millisecond, Patience: 80 * time.Millisecond, ExtraAttempts: 2,
	}
}

func sampleAnswer() *Answer {
	a := &Answer{
		ID: "host-0123456789abcdef0123456789/1", Status: http.StatusOK, Body: make([]byte, 600), Offered: true,
		Header: http.Header{"Content-Type": {"application/json"}, "X-Seal": {"0123456789abcdef"}, "X-Trace": {"0123"}},
		Err:    verdict.New(verdict.NotRun, verdict.BackendRefused, "refused"),
		Load:   admission.Load{InFlight: 3, Limit: 40, Slots: 50},
	}
	a.Seal()
	return a
}

// BenchmarkEncode encodes and decodes a request and its answer. It compares the packed
// encoding with a gob stream that has sent the types before.
func BenchmarkEncode(b *testing.B) {
	request, answer := sampleRequest(), sampleAnswer()
	b.Run("packed", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, requestErr := request.Pack().Request()
			_, answerErr := answer.Pack().Answer()
			if requestErr != nil || answerErr != nil {
				b.Fatal(requestErr, answerErr)
			}
		}
	})
	b.Run("gob", func(b *testing.B) {
		var stream bytes.Buffer
		encoder, decoder := gob.NewEncoder(&stream), gob.NewDecoder(&stream)
		b.ReportAllocs()
		for b.Loop() {
			err := errors.Join(
				encoder.Encode(request), decoder.Decode(new(Request)),
				encoder.Encode(answer), decoder.Decode(new(Answer)),
			)
			if err != nil {
				b.Fatal(err)
			}
		}
	})
}
