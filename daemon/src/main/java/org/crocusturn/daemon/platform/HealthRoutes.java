package org.crocusturn.daemon.platform;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import org.crocusturn.core.ring.Duty;
import org.crocusturn.daemon.net.HttpExchange;
import org.crocusturn.daemon.net.HttpHandler;
import org.crocusturn.daemon.net.HttpResponse;

/** Passes health requests to {@link LifecycleDuty} and all others to the next handler. */
public final class HealthRoutes implements HttpHandler {
    private static final int UNAVAILABLE = 503;

    /** Maximum queued requests; the rest of the ring is reserved for the stop of the process. */
    private static final int MAX_QUEUED_REQUESTS = 1_024;

    private final Duty<LifecycleEvent> mDuty;
    private final HttpHandler mNext;

    private HealthRoutes(Duty<LifecycleEvent> duty, HttpHandler next) {
        mDuty = duty;
        mNext = next;
    }

    /** Creates the handler. */
    public static HealthRoutes create(Duty<LifecycleEvent> duty, HttpHandler next) {
        return new HealthRoutes(
                Objects.requireNonNull(duty, "duty"), Objects.requireNonNull(next, "next"));
    }

    @Override
    public void handle(HttpExchange exchange) {
        if (!exchange.request().pathWithoutQuery().startsWith("/health/")) {
            mNext.handle(exchange);
        } else if (!mDuty.offer(
                new LifecycleEvent.HealthRequested(exchange), MAX_QUEUED_REQUESTS)) {
            exchange.respond(
                    HttpResponse.json(
                            UNAVAILABLE,
                            "{\"status\":\"overloaded\"}".getBytes(StandardCharsets.UTF_8)));
        }
    }
}
