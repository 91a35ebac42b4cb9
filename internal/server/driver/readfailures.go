package driver

import "github.com/cockroachdb/errors"

// maxReadFailures is the number of reads of a socket in a row that may fail. A
// socket reports single errors for packets that it could not deliver; one that only
// fails is broken, and reading it again would only use up the processor.
const maxReadFailures = 32

// ReadFailures counts the reads of a socket that failed in a row.
type ReadFailures struct{ count int }

// Reset records a read that succeeded.
func (f *ReadFailures) Reset() { f.count = 0 }

// Add records a read that failed. It reports whether it is the first in a row, which
// is worth a log line, and returns an error if the socket is broken.
func (f *ReadFailures) Add(err error) (first bool, broken error) {
	f.count++
	if f.count >= maxReadFailures {
		return false, errors.Wrapf(err, "%d reads in a row failed", f.count)
	}
	return f.count == 1, nil
}
