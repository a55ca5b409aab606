package claim_test

import (
	"context"
	"fmt"

	"curranthold.example/curranthold/internal/claim"
	"curranthold.example/curranthold/pkg/verdict"
)

// A request with a ticket runs once. A repetition is refused with the status of the
// first run, without a request to the platform.
func ExampleClaimer_Begin() {
	ctx := context.Background()
	c := claim.New(claim.Config{Host: "host-1", Address: "127.0.0.1:7000", Secret: []byte("fleet secret")})
	defer func() { _ = c.Close() }()

	tickets, err := c.Issue("parish", 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	request := claim.Request{Account: "parish", Route: "rota-claims", Ticket: tickets[0]}
	first, err := c.Begin(ctx, request)
	if err != nil {
		fmt.Println(err)
		return
	}
	// The request is sent to a backend server here.
	_ = first.Finish(ctx, verdict.Ran, 201)

	_, err = c.Begin(ctx, request)
	fmt.Println(err)
	// Output: already-ran (ran): an earlier arrival of the request ran, with status 201
}
