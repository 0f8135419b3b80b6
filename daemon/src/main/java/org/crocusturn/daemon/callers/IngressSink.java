package org.crocusturn.daemon.callers;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiPredicate;
import java.util.function.Supplier;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.callers.KeyCheck;
import org.crocusturn.core.controlhosts.ControlView;
import org.crocusturn.core.entryhosts.CallerRequest;
import org.crocusturn.core.ring.SteadyClock;

/**
 * Passes parsed requests to the ingress duty. Requests are refused early if this host has lost the
 * control hosts or the key is not valid.
 *
 * <p>Thread-safe.
 */
public final class IngressSink implements CallerSink {
    /** Maximum events in the ring when a request is added; the rest is reserved for replies. */
    public static final int MAX_QUEUED_REQUESTS = 8_192;

    private final BiPredicate<IngressEvent, Integer> mRing;
    private final Supplier<ControlView> mView;
    private final SessionTokenCodec mTokens;
    private final Duration mTimeout;
    private final AtomicLong mNextId = new AtomicLong(1);

    private IngressSink(
            BiPredicate<IngressEvent, Integer> ring,
            Supplier<ControlView> view,
            SessionTokenCodec tokens,
            Duration timeout) {
        mRing = ring;
        mView = view;
        mTokens = tokens;
        mTimeout = timeout;
    }

    /**
     * Creates the sink.
     *
     * @param ring adds an event to the ring of the ingress duty unless the given number of events
     *     is queued; returns whether it was added
     * @param view supplies the latest control view
     * @param tokens verifies session tokens
     * @param timeout maximum time until a caller gets an answer
     */
    public static IngressSink create(
            BiPredicate<IngressEvent, Integer> ring,
            Supplier<ControlView> view,
            SessionTokenCodec tokens,
            Duration timeout) {
        return new IngressSink(
                Objects.requireNonNull(ring, "ring"),
                Objects.requireNonNull(view, "view"),
                Objects.requireNonNull(tokens, "tokens"),
                Objects.requireNonNull(timeout, "timeout"));
    }

    @Override
    public boolean offer(ParsedRequest request, AnswerCallback reply) {
        var callerRequest =
                new CallerRequest(
                        mNextId.getAndIncrement(),
                        request.keyHash(),
                        request.session().map(mTokens::decode),
                        request.service(),
                        request.operation().operation(),
                        SteadyClock.nanoTime() + mTimeout.toNanos());
        return mRing.test(
                new IngressEvent.RequestReceived(callerRequest, reply), MAX_QUEUED_REQUESTS);
    }

    @Override
    public Optional<Failure> refusal(String keyHash) {
        ControlView view = mView.get();
        if (!view.isFresh(SteadyClock.nanoTime())) {
            return Optional.of(
                    Failure.notRun(
                            ErrorCode.UNAVAILABLE,
                            "this host has no current state from the control hosts"));
        }
        return KeyCheck.of(view.state(), keyHash).failure();
    }
}
