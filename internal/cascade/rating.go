// Package cascade decides at which level a cascade starts, and asks the rating service.
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

const maxRatingBytes = 4 << 10

// Rating is what the rating service is asked and answers.
type Rating struct {
	RequestID string  `json:"request_id"`
	Prompt    string  `json:"prompt,omitempty"`
	Answer    string  `json:"answer,omitempty"`
	Rating    float64 `json:"rating"`
}

// RatingClient asks the rating service over HTTP.
type RatingClient struct {
	BaseURL string
	HTTP    *http.Client
	Timeout time.Duration
}

// Rate implements Rater and filter.Rater. An answer for another request or outside 0 to 1 is an error.
func (c *RatingClient) Rate(ctx context.Context, requestID, prompt, answer string) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	data, err := json.Marshal(Rating{RequestID: requestID, Prompt: prompt, Answer: answer})
	if err != nil {
		return 0, fmt.Errorf("rating: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.BaseURL+"/rate", bytes.NewReader(data))
	if err != nil {
		return 0, fmt.Errorf("rating: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return 0, fmt.Errorf("rating: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("rating: status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxRatingBytes))
	if err != nil {
		return 0, fmt.Errorf("rating: %w", err)
	}
	return parseRating(body, requestID)
}

// ratingResponse is what the rating service says; a rating that is absent is no rating of 0.
type ratingResponse struct {
	RequestID string   `json:"request_id"`
	Rating    *float64 `json:"rating"`
}

func parseRating(body []byte, requestID string) (float64, error) {
	var a ratingResponse
	if err := json.Unmarshal(body, &a); err != nil {
		return 0, fmt.Errorf("rating: %w", err)
	}
	if a.RequestID != requestID {
		return 0, fmt.Errorf("rating of request %q came for request %q", a.RequestID, requestID)
	}
	if a.Rating == nil || !(*a.Rating >= 0 && *a.Rating <= 1) {
		return 0, fmt.Errorf("rating of request %q is absent or outside 0 to 1", requestID)
	}
	return *a.Rating, nil
}
