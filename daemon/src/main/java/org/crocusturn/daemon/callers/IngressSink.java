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
 * Brings parsed requests to the ingress duty; refuses at once what needs no body.
 *
 * <p>Safe for any thread.
 */
public final class IngressSink implements CallerSink {
    /** Requests that may wait in the ring; the rest of its capacity is kept for replies. */
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
     * @param ring offers an event to the ingress duty unless a number of events wait
     * @param view gives the latest control view
     * @param tokens checks session tokens
     * @param timeout time after which a caller is answered at the latest
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
                    Failure.notRun(ErrorCode.UNAVAILABLE, "this host has lost the control hosts"));
        }
        return KeyCheck.of(view.state(), keyHash).failure();
    }
}
