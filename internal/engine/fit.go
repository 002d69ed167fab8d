package engine

// terms is the number of terms of a fit: a constant, the tokens, the load, the queue and the prompts that wait.
const terms = 5

// Indexes of the terms.
const (
	termConstant = iota
	termTokens
	termLoad
	termQueue
	termWaiting
)

const (
	// priorRuns is how many runs the prior counts for.
	priorRuns = 10
	// keptShare is the part of the weight of earlier runs, 0 to 1, that is left after another one, so that about the last 65 count.
	keptShare = 0.985
	// maxError bounds the error of one run, as a part of the expected time.
	maxError = 0.7
	// leastTime is the least time in ms by which an error is divided.
	leastTime = 5
)

// vector has an element for each term.
type vector [terms]float64

func (v vector) dot(w vector) (sum float64) {
	for i := range v {
		sum += v[i] * w[i]
	}
	return sum
}

// fit estimates a time in ms as the sum of its terms. Each run moves it by recursive least squares of the relative errors. The error of
// one run is bounded, so that the middle of what is seen decides, as with endpoints that hang or answer from a cache that isn't known of.
type fit struct {
	least, coefficients vector
	// stiffness says how strongly the prior holds for each term.
	stiffness vector
	// products is the sum of the products of the terms of the runs.
	products [terms]vector
}

// newFit makes a fit that begins with the prior and stays at or above least. typical is a typical run, for which the prior counts as if
// priorRuns had confirmed it.
func newFit(prior, least, typical vector) fit {
	f := fit{least: least, coefficients: prior}
	t := max(prior.dot(typical), leastTime)
	for i := range typical {
		f.stiffness[i] = priorRuns * typical[i] * typical[i] / (t * t)
	}
	return f
}

// estimate returns the expected time in ms.
func (f *fit) estimate(x vector) float64 { return f.coefficients.dot(x) }

// learn adds a run that took y ms and counts for the share of a run.
func (f *fit) learn(x vector, y, share float64) {
	expected := max(f.estimate(x), leastTime)
	weight := share / (expected * expected)
	bound := maxError * expected
	off := min(max(y-f.estimate(x), -bound), bound)
	a, b := f.products, vector{}
	for i := range x {
		for j := range x {
			f.products[i][j] = f.products[i][j]*keptShare + weight*x[i]*x[j]
		}
		a[i] = f.products[i]
		a[i][i] += f.stiffness[i]
		b[i] = weight * off * x[i]
	}
	step, ok := eliminate(a, b)
	if !ok {
		return
	}
	for i := range step {
		f.coefficients[i] = max(f.coefficients[i]+step[i], f.least[i])
	}
}

// eliminate solves a·c = b for a positive definite a; false if it isn't.
func eliminate(a [terms]vector, b vector) (c vector, ok bool) {
	for i := range a {
		if a[i][i] <= 0 {
			return c, false
		}
		for j := i + 1; j < terms; j++ {
			ratio := a[j][i] / a[i][i]
			for k := i; k < terms; k++ {
				a[j][k] -= ratio * a[i][k]
			}
			b[j] -= ratio * b[i]
		}
	}
	for i := terms - 1; i >= 0; i-- {
		c[i] = b[i]
		for k := i + 1; k < terms; k++ {
			c[i] -= a[i][k] * c[k]
		}
		c[i] /= a[i][i]
	}
	return c, true
}
