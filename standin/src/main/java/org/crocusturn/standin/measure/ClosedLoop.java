package org.crocusturn.standin.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** A caller that sends its next request as soon as the previous one has completed. */
final class ClosedLoop {
    private final Supplier<CompletableFuture<Boolean>> mRequest;
    private final long mEndNanos;
    private final CompletableFuture<Void> mDone = new CompletableFuture<>();
    private final List<Long> mLatencies = new ArrayList<>();
    private long mFailures;

    ClosedLoop(Supplier<CompletableFuture<Boolean>> request, long endNanos) {
        mRequest = request;
        mEndNanos = endNanos;
    }

    /** Sends the first request; the future completes after the last answer. */
    CompletableFuture<Void> start() {
        sendNext();
        return mDone;
    }

    /** Returns the latencies of successful requests in nanoseconds; valid after completion. */
    List<Long> latencies() {
        return List.copyOf(mLatencies);
    }

    /** Returns the number of failed requests; valid after completion. */
    long failures() {
        return mFailures;
    }

    private void sendNext() {
        long start = System.nanoTime();
        // The I/O thread that completes a request sends the next one, so that at most one is open.
        mRequest.get()
                .whenComplete(
                        (done, error) -> {
                            long now = System.nanoTime();
                            if (error == null && done) {
                                mLatencies.add(now - start);
                            } else {
                                mFailures++;
                            }
                            if (now < mEndNanos) {
                                sendNext();
                            } else {
                                mDone.complete(null);
                            }
                        });
    }
}
