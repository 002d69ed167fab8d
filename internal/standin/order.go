package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"

	"cornelmux/internal/order"
	"cornelmux/internal/task"
)

// orderMessage gives an engine an order; the reply is false if its fencing number is outdated.
type orderMessage struct {
	order order.RecordedOrder
	reply chan<- bool
}

// handle loads or unloads a version or sets the role, unless the fencing number is outdated. serveOrder sends the message.
func (m orderMessage) handle(e *Engine) {
	if e.checksFence && m.order.Fence < e.highestFence {
		m.reply <- false
		return
	}
	e.highestFence = max(e.highestFence, m.order.Fence)
	others := slices.DeleteFunc(slices.Clone(e.versions), func(v string) bool { return v == m.order.Version })
	switch m.order.Kind {
	case order.KindLoad:
		e.versions = append(others, m.order.Version)
	case order.KindUnload:
		e.versions = others
	default:
		e.role = m.order.Role
	}
	m.reply <- true
}

// serveOrder serves an order, and answers 409 if its fencing number is outdated. ServeHTTP calls it.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o order.RecordedOrder
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	accepted, err := task.Ask(r.Context(), e.mailbox, func(reply chan<- bool) engineMessage { return orderMessage{o, reply} })
	if err == nil && !accepted {
		http.Error(w, "the order's fencing number is outdated", http.StatusConflict)
		return
	}
	writeJSON(w, accepted, err)
}
