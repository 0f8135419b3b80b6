package org.crocusturn.daemon.platform;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.platform.Lifecycle;
import org.crocusturn.core.platform.Phase;
import org.crocusturn.core.ring.DutyHandler;
import org.crocusturn.core.ring.SteadyClock;
import org.crocusturn.daemon.net.HttpExchange;
import org.crocusturn.daemon.net.HttpResponse;
import org.crocusturn.daemon.net.Json;

/** Owns the lifecycle of the process and answers the platform's health requests. */
public final class LifecycleDuty implements DutyHandler<LifecycleEvent> {
    private static final Logger LOG = LogManager.getLogger(LifecycleDuty.class);

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;

    /** Time between two looks at the lifecycle while the process stops, in nanoseconds. */
    private static final long TICK_NANOS = 20_000_000;

    /** Time between two looks while nothing but an event can change the phase, in nanoseconds. */
    private static final long CALM_NANOS = 1_000_000_000;

    private final Duration mBalancerDelay;
    private final Duration mDrainLimit;
    private final Consumer<Phase> mOnPhase;
    private Lifecycle mLifecycle;
    private final Map<String, Integer> mBusy = new HashMap<>();

    private LifecycleDuty(
            Duration balancerDelay, Duration drainLimit, Consumer<Phase> onPhase, long nowNanos) {
        mBalancerDelay = balancerDelay;
        mDrainLimit = drainLimit;
        mOnPhase = onPhase;
        mLifecycle = Lifecycle.starting(nowNanos);
    }

    /**
     * Creates the handler.
     *
     * @param balancerDelay time that the load balancer needs to notice a host that is not ready
     * @param drainLimit longest time for finishing what runs
     * @param onPhase told about each new phase, on the thread of the duty
     */
    public static LifecycleDuty create(
            Duration balancerDelay, Duration drainLimit, Consumer<Phase> onPhase) {
        Objects.requireNonNull(onPhase, "onPhase");
        return new LifecycleDuty(balancerDelay, drainLimit, onPhase, SteadyClock.nanoTime());
    }

    @Override
    public void onEvent(LifecycleEvent event) {
        long nowNanos = SteadyClock.nanoTime();
        if (event instanceof LifecycleEvent.HealthAsked asked) {
            answer(asked.exchange());
        } else if (event instanceof LifecycleEvent.StateKnown) {
            moveTo(mLifecycle.withServing(nowNanos));
        } else if (event instanceof LifecycleEvent.StopRequested) {
            moveTo(mLifecycle.withStopRequested(nowNanos));
        } else if (event instanceof LifecycleEvent.BusyChanged changed) {
            mBusy.put(changed.part(), changed.busy());
        }
    }

    @Override
    public long onTimer(long nowNanos) {
        moveTo(mLifecycle.advancedTo(nowNanos, mBalancerDelay, busy(), mDrainLimit));
        boolean stopping =
                mLifecycle.phase() == Phase.LEAVING || mLifecycle.phase() == Phase.DRAINING;
        return nowNanos + (stopping ? TICK_NANOS : CALM_NANOS);
    }

    private int busy() {
        return mBusy.values().stream().mapToInt(Integer::intValue).sum();
    }

    private void moveTo(Lifecycle next) {
        if (next.phase() != mLifecycle.phase()) {
            LOG.info("platform: phase {} follows {}", next.phase(), mLifecycle.phase());
            mLifecycle = next;
            mOnPhase.accept(next.phase());
        }
    }

    private void answer(HttpExchange exchange) {
        switch (exchange.request().pathWithoutQuery()) {
            case "/health/live" -> exchange.respond(status(OK, "live"));
            case "/health/ready" ->
                    exchange.respond(
                            mLifecycle.isReady()
                                    ? status(OK, "ready")
                                    : status(UNAVAILABLE, "not ready"));
            default -> exchange.respond(status(NOT_FOUND, "no such route"));
        }
    }

    private static HttpResponse status(int code, String text) {
        return HttpResponse.json(code, Json.write(Json.object().put("status", text)));
    }
}
