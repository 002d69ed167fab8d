package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"

	"cornelmux/internal/order"
	"cornelmux/internal/task"
)

type orderMessage struct {
	order order.RecordedOrder
	reply chan<- bool
}

func (m orderMessage) handle(e *Engine) {
	if e.checksFence && m.order.Fence < e.fence {
		m.reply <- false
		return
	}
	e.fence = max(e.fence, m.order.Fence)
	kept := slices.DeleteFunc(slices.Clone(e.versions), func(v string) bool { return v == m.order.Version })
	switch m.order.Kind {
	case order.KindLoad:
		e.versions = append(kept, m.order.Version)
	case order.KindUnload:
		e.versions = kept
	default:
		e.role = m.order.Role
	}
	m.reply <- true
}

// serveOrder takes an order, and refuses an old one if the engine checks fencing numbers.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var n order.RecordedOrder
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&n); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	taken, err := task.Ask(r.Context(), e.mailbox, func(reply chan<- bool) engineMessage { return orderMessage{n, reply} })
	if err == nil && !taken {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	writeJSON(w, taken, err)
}
