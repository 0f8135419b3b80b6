package org.crocusturn.standin.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Is one caller that sends its next request when the answer of the last one has arrived. */
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

    /** Starts; the future completes after the last answer. */
    CompletableFuture<Void> start() {
        sendNext();
        return mDone;
    }

    /** Returns the latencies of the answers in nanoseconds, once the loop has ended. */
    List<Long> latencies() {
        return List.copyOf(mLatencies);
    }

    /** Returns the number of failed requests, once the loop has ended. */
    long failures() {
        return mFailures;
    }

    private void sendNext() {
        long start = System.nanoTime();
        // Each answer starts the next request from its own I/O thread: one caller, one request.
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
