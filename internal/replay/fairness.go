package replay

import "github.com/rattanscale/rattanscale/internal/trace"

// fairness returns Jain's index of the tokens that each account with demand
// received, relative to its max-min fair part of all tokens delivered. The fair part
// of an account that asked for less than its share is what it asked for.
func fairness(accounts []trace.Account, demand, received []float64) float64 {
	total := 0.0
	for _, x := range received {
		total += x
	}
	fairParts := maxMinFairParts(accounts, demand, total)
	sum, squares, n := 0.0, 0.0, 0.0
	for i := range accounts {
		if fairParts[i] <= 0 {
			continue
		}
		x := received[i] / fairParts[i]
		sum, squares, n = sum+x, squares+x*x, n+1
	}
	if n == 0 || squares == 0 {
		return 1
	}
	return sum * sum / (n * squares)
}

// maxMinFairParts divides total among the accounts in proportion to their shares, none
// above its demand, by water filling.
func maxMinFairParts(accounts []trace.Account, demand []float64, total float64) []float64 {
	out := make([]float64, len(accounts))
	openShares := make(map[int]float64, len(accounts)) // shares of the accounts whose part is not known yet
	for i, a := range accounts {
		openShares[i] = a.Share
	}
	for len(openShares) > 0 {
		shares := 0.0
		for i := range accounts {
			shares += openShares[i] // in index order, because the rounding depends on the order
		}
		level, capped := total/shares, false
		for i, a := range accounts {
			if _, ok := openShares[i]; ok && demand[i] <= level*a.Share {
				out[i], capped = demand[i], true
				total -= demand[i]
				delete(openShares, i)
			}
		}
		if capped {
			continue
		}
		for i, share := range openShares {
			out[i] = level * share
		}
		return out
	}
	return out
}
