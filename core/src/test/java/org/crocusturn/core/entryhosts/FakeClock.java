package org.crocusturn.core.entryhosts;

/** Is a clock that runs at its own rate from its own origin, like that of another machine. */
record FakeClock(double rate, long originNanos) {
    long at(long trueNanos) {
        return originNanos + (long) (trueNanos * rate);
    }
}
