package org.crocusturn.core.entryhosts;

/** Clock with its own rate and origin, like the clock of a separate host. */
record FakeClock(double rate, long originNanos) {
    long at(long trueNanos) {
        return originNanos + (long) (trueNanos * rate);
    }
}
