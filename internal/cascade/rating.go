// Package cascade plans the levels of a cascade for a request, decides when to escalate, and asks the rating service.
package cascade

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// maxRatingBytes bounds the body of a response of the rating service.
const maxRatingBytes = 4 << 10

// Rating is the body of a request to the rating service and of its response. A request has no rating, a response only
// the request ID and the rating from 0 to 1.
type Rating struct {
	RequestID string  `json:"request_id"`
	Prompt    string  `json:"prompt,omitempty"`
	Answer    string  `json:"answer,omitempty"`
	Rating    float64 `json:"rating"`
}

// RatingClient calls the rating service over HTTP.
type RatingClient struct {
	// BaseURL is the URL of the service without the path /rate.
	BaseURL string
	HTTP    *http.Client
	// Timeout bounds one request to the service.
	Timeout time.Duration
}

// Rate implements Rater and filter.Rater. A response for another request or a rating outside 0 to 1 is an error.
func (c *RatingClient) Rate(ctx context.Context, requestID, prompt, answer string) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	data, err := json.Marshal(Rating{RequestID: requestID, Prompt: prompt, Answer: answer})
	if err != nil {
		return 0, fmt.Errorf("rate the answer: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.BaseURL+"/rate", bytes.NewReader(data))
	if err != nil {
		return 0, fmt.Errorf("rate the answer: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return 0, fmt.Errorf("rate the answer: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("rate the answer: status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxRatingBytes))
	if err != nil {
		return 0, fmt.Errorf("rate the answer: %w", err)
	}
	return parseRating(body, requestID)
}

// ratingResponse is the response of the rating service. Rating is a pointer to tell an absent rating from 0.
type ratingResponse struct {
	RequestID string   `json:"request_id"`
	Rating    *float64 `json:"rating"`
}

// parseRating decodes the response to the rating request with requestID. Rate calls it.
func parseRating(body []byte, requestID string) (float64, error) {
	var a ratingResponse
	if err := json.Unmarshal(body, &a); err != nil {
		return 0, fmt.Errorf("rate the answer: %w", err)
	}
	if a.RequestID != requestID {
		return 0, fmt.Errorf("rating of request %q received for request %q", a.RequestID, requestID)
	}
	if a.Rating == nil || !(*a.Rating >= 0 && *a.Rating <= 1) {
		return 0, fmt.Errorf("rating of request %q is absent or outside 0 to 1", requestID)
	}
	return *a.Rating, nil
}
