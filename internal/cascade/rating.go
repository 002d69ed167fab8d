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

// Client asks the rating service over HTTP.
type Client struct {
	Base    string
	HTTP    *http.Client
	Timeout time.Duration
}

// Rate implements filter.Rater. An answer for another request or outside 0 to 1 is an error.
func (c *Client) Rate(ctx context.Context, requestID, prompt, answer string) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	data, err := json.Marshal(Rating{RequestID: requestID, Prompt: prompt, Answer: answer})
	if err != nil {
		return 0, fmt.Errorf("rating: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.Base+"/rate", bytes.NewReader(data))
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
	var r Rating
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxRatingBytes)).Decode(&r); err != nil {
		return 0, fmt.Errorf("rating: %w", err)
	}
	if r.RequestID != requestID || !(r.Rating >= 0 && r.Rating <= 1) {
		return 0, fmt.Errorf("rating %v for request %q is out of place", r.Rating, r.RequestID)
	}
	return r.Rating, nil
}
