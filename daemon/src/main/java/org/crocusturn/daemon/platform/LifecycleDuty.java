package org.crocusturn.daemon.platform;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
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

/** Manages the lifecycle of the process and answers the platform's health requests. */
public final class LifecycleDuty implements DutyHandler<LifecycleEvent> {
    private static final Logger LOG = LogManager.getLogger(LifecycleDuty.class);

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;

    /** Interval between lifecycle checks while the process stops. */
    private static final long STOPPING_INTERVAL_NANOS = 20_000_000;

    /** Interval between lifecycle checks while only events can change the phase. */
    private static final long IDLE_INTERVAL_NANOS = 1_000_000_000;

    private final Duration mBalancerDelay;
    private final Duration mDrainTimeout;
    private final Set<String> mComponents;
    private final Consumer<Phase> mPhaseListener;
    private Lifecycle mLifecycle;
    private final Map<String, Integer> mRemainingByComponent = new HashMap<>();

    private LifecycleDuty(
            Duration balancerDelay,
            Duration drainTimeout,
            Set<String> components,
            Consumer<Phase> phaseListener,
            long nowNanos) {
        mBalancerDelay = balancerDelay;
        mDrainTimeout = drainTimeout;
        mComponents = Set.copyOf(components);
        mPhaseListener = phaseListener;
        mLifecycle = Lifecycle.starting(nowNanos);
    }

    /**
     * Creates the handler.
     *
     * @param balancerDelay time that the load balancer takes to detect that a host is not ready
     * @param drainTimeout maximum time for draining, after which remaining work is abandoned
     * @param components names of the components whose work a planned stop waits for
     * @param phaseListener receives each new phase on the thread of the duty
     */
    public static LifecycleDuty create(
            Duration balancerDelay,
            Duration drainTimeout,
            Set<String> components,
            Consumer<Phase> phaseListener) {
        Objects.requireNonNull(phaseListener, "phaseListener");
        return new LifecycleDuty(
                balancerDelay, drainTimeout, components, phaseListener, SteadyClock.nanoTime());
    }

    @Override
    public void onEvent(LifecycleEvent event) {
        long nowNanos = SteadyClock.nanoTime();
        if (event instanceof LifecycleEvent.HealthRequested requested) {
            respond(requested.exchange());
        } else if (event instanceof LifecycleEvent.StateReceived) {
            transitionTo(mLifecycle.withServing(nowNanos));
        } else if (event instanceof LifecycleEvent.StopRequested) {
            transitionTo(mLifecycle.withStopRequested(nowNanos));
        } else if (event instanceof LifecycleEvent.RemainingWorkChanged changed) {
            if (changed.phase() == mLifecycle.phase()) {
                mRemainingByComponent.put(changed.component(), changed.remaining());
            }
        }
    }

    @Override
    public long onTimer(long nowNanos) {
        transitionTo(
                mLifecycle.advancedTo(nowNanos, mBalancerDelay, remainingWork(), mDrainTimeout));
        boolean stopping =
                mLifecycle.phase() == Phase.LEAVING || mLifecycle.phase() == Phase.DRAINING;
        return nowNanos + (stopping ? STOPPING_INTERVAL_NANOS : IDLE_INTERVAL_NANOS);
    }

    /** Returns the remaining work; a component that has not counted its work yet may have some. */
    private int remainingWork() {
        return mComponents.stream()
                .mapToInt(component -> mRemainingByComponent.getOrDefault(component, 1))
                .sum();
    }

    private void transitionTo(Lifecycle next) {
        if (next.phase() != mLifecycle.phase()) {
            LOG.info("platform: phase {} follows {}", next.phase(), mLifecycle.phase());
            mLifecycle = next;
            mRemainingByComponent.clear();
            mPhaseListener.accept(next.phase());
        }
    }

    private void respond(HttpExchange exchange) {
        switch (exchange.request().pathWithoutQuery()) {
            case "/health/live" -> exchange.respond(statusResponse(OK, "live"));
            case "/health/ready" ->
                    exchange.respond(
                            mLifecycle.isReady()
                                    ? statusResponse(OK, "ready")
                                    : statusResponse(UNAVAILABLE, "not ready"));
            default -> exchange.respond(statusResponse(NOT_FOUND, "no such route"));
        }
    }

    private static HttpResponse statusResponse(int code, String text) {
        return HttpResponse.json(code, Json.write(Json.object().put("status", text)));
    }
}
