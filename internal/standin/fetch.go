package standin

import (
	"io"
	"net/http"
)

// maxResponseBytes bounds the body of a response that a stand-in reads.
const maxResponseBytes = 8 << 20

// receivedResponse is a response whose body has been read completely.
type receivedResponse struct {
	status int
	header http.Header
	body   []byte
}

// fetch sends req and reads the response with its body, up to maxResponseBytes.
func fetch(client *http.Client, req *http.Request) (receivedResponse, error) {
	resp, err := client.Do(req)
	if err != nil {
		return receivedResponse{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return receivedResponse{status: resp.StatusCode, header: resp.Header, body: body}, err
}
