package order

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

// Client sends orders to endpoints over HTTP.
type Client struct {
	HTTP *http.Client
}

// Order implements Sender; address is the endpoint's host:port. It waits for the answer.
func (c Client) Order(ctx context.Context, address string, o RecordedOrder) error {
	data, err := json.Marshal(o)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/orders", bytes.NewReader(data))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return ErrFenced
	default:
		return fmt.Errorf("send order: status %d", resp.StatusCode)
	}
}
