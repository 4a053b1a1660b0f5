// Package hostile sends what clients outside the operators' control may send to processes of
// the system, and checks that each stays within the memory of its machine and still answers.
// Its tests measure processes, so they run one at a time and apart from other packages:
//
//	go test -tags hostile -p 1 -parallel 1 ./e2e/hostile
package hostile
