package shift

import "time"

const (
	// slowTTFBFactor is the multiple of the baseline's TTFB above which an answer is slow.
	slowTTFBFactor = 3.5
	// slowTTFBMargin and slowGapMargin are the least excess over the baseline, so that an answer
	// isn't slow for a few milliseconds.
	slowTTFBMargin = 150 * time.Millisecond
	slowGapMargin  = 20 * time.Millisecond
	// slowGapFactor is slowTTFBFactor for the time between events, which varies less.
	slowGapFactor = 2.5
	// baselineWeight is the weight of a new answer in the moving mean, 0 to 1.
	baselineWeight = 0.05
	// minBaselineSamples is the number of answers that the mean needs before answers are compared with it.
	minBaselineSamples = 20
)

// Baseline is the moving mean of the old version's latency for one kind of request.
type Baseline struct {
	// TTFB is the mean time to first byte.
	TTFB time.Duration
	// MeanGap is the mean time between events; 0 is unknown.
	MeanGap time.Duration
	// Count is the number of answers added.
	Count int
}

// Add adds an answer of the old version; a gap of 0 is unknown.
// It is called for each successful answer whose TTFB is known.
func (b *Baseline) Add(ttfb, gap time.Duration) {
	b.Count++
	if b.Count == 1 {
		b.TTFB, b.MeanGap = ttfb, gap
		return
	}
	b.TTFB += time.Duration(baselineWeight * float64(ttfb-b.TTFB))
	if gap > 0 {
		b.MeanGap += time.Duration(baselineWeight * float64(gap-b.MeanGap))
	}
}

// IsSlow reports whether an answer took several times as long as the baseline, to its first byte or between events.
// It returns false until the baseline has minBaselineSamples.
func (b *Baseline) IsSlow(ttfb, gap time.Duration) bool {
	if b.Count < minBaselineSamples {
		return false
	}
	if ttfb > time.Duration(slowTTFBFactor*float64(b.TTFB)) && ttfb-b.TTFB > slowTTFBMargin {
		return true
	}
	return b.MeanGap > 0 && gap > time.Duration(slowGapFactor*float64(b.MeanGap)) && gap-b.MeanGap > slowGapMargin
}
