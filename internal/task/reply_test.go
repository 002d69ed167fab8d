package task

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

type wantedQuestion struct{ reply Reply[int] }

// TestAskOrLeave checks what asker and receiver know when the asker leaves before or after the reply, or the receiver ends.
func TestAskOrLeave(t *testing.T) {
	const timeout = 2 * time.Second
	tests := []struct {
		name string
		// full says that another question is in the mailbox, and that the receiver reads none.
		full bool
		// waits is how long the receiver has the question before it looks at it, works how long it then takes to reply; 0 ends it before.
		waits, works time.Duration
		ends         bool
		want         int
		err          error
		after        time.Duration
		// wanted and sent are what the receiver sees.
		wanted, sent bool
	}{
		{"replied", false, 0, time.Second, false, 42, nil, time.Second, true, true},
		{"left while the receiver works", false, time.Second, 3 * time.Second, false, 0, context.DeadlineExceeded, timeout, true, false},
		{"left before", false, 3 * time.Second, time.Second, false, 0, context.DeadlineExceeded, timeout, false, false},
		{"receiver ended", false, time.Second, time.Second, true, 0, ErrStopped, time.Second, true, false},
		{"mailbox full", true, 0, 0, false, 0, ErrFull, 0, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				mailbox, stopped := make(chan wantedQuestion, 1), make(chan struct{})
				incoming := mailbox
				if test.full {
					mailbox <- wantedQuestion{}
					incoming = nil
				}
				ends := make(chan End, 1)
				ctx, cancel := context.WithCancel(t.Context())
				wanted, sent := false, false
				Start(ctx, "receiver", ends, func(ctx context.Context) error {
					defer close(stopped)
					select {
					case q := <-incoming:
						time.Sleep(test.waits)
						wanted = q.reply.Wanted()
						if test.ends {
							return nil
						}
						time.Sleep(test.works)
						sent = q.reply.Send(42)
					case <-ctx.Done():
					}
					return nil
				})
				limited, stop := context.WithTimeout(t.Context(), timeout)
				defer stop()
				began := time.Now()
				got, err := AskOrLeave(limited, stopped, mailbox, func(r Reply[int]) wantedQuestion { return wantedQuestion{r} })
				qt.Check(t, got, qt.Equals, test.want)
				qt.Check(t, errors.Is(err, test.err), qt.IsTrue, qt.Commentf("%v", err))
				qt.Check(t, time.Since(began), qt.Equals, test.after)
				if test.full {
					cancel()
				}
				<-ends
				cancel()
				qt.Check(t, []bool{wanted, sent}, qt.DeepEquals, []bool{test.wanted, test.sent})
			})
		})
	}
}

// TestReplyAndLeaveAgree has askers leave at the moment at which the receiver replies, and checks that both sides always agree on whether
// the reply was taken.
func TestReplyAndLeaveAgree(tt *testing.T) {
	rapid.Check(tt, func(t *rapid.T) {
		times := rapid.SliceOfN(rapid.IntRange(0, 2), 1, 200).Draw(t, "milliseconds")
		taken, sent := 0, 0
		synctest.Test(tt, func(tt *testing.T) {
			mailbox := make(chan wantedQuestion, len(times))
			ctx, cancel := context.WithCancel(tt.Context())
			ends := make(chan End, 1)
			Start(ctx, "receiver", ends, func(context.Context) error {
				for range times {
					q := <-mailbox
					if q.reply.Send(1) {
						sent++
					}
				}
				return nil
			})
			replies := make(chan int, len(times))
			for _, after := range times {
				go func() {
					limited, stop := context.WithTimeout(ctx, time.Duration(after)*time.Millisecond)
					defer stop()
					time.Sleep(time.Millisecond)
					n, _ := AskOrLeave(limited, nil, mailbox, func(r Reply[int]) wantedQuestion { return wantedQuestion{r} }) // 0 if it left
					replies <- n
				}()
			}
			for range times {
				taken += <-replies
			}
			<-ends
			cancel()
		})
		if taken != sent {
			t.Fatalf("%d replies were taken, %d sent", taken, sent)
		}
	})
}
