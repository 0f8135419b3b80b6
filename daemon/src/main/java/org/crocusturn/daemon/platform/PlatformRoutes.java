package org.crocusturn.daemon.platform;

import java.util.Objects;
import org.crocusturn.daemon.net.HttpExchange;
import org.crocusturn.daemon.net.HttpHandler;
import org.crocusturn.daemon.net.HttpResponse;
import org.crocusturn.daemon.net.Json;

/** Serves {@code /metrics} and answers other requests with 404. */
public final class PlatformRoutes implements HttpHandler {
    private static final int NOT_FOUND = 404;

    private final Metrics mMetrics;

    private PlatformRoutes(Metrics metrics) {
        mMetrics = metrics;
    }

    /** Creates the handler. */
    public static PlatformRoutes create(Metrics metrics) {
        return new PlatformRoutes(Objects.requireNonNull(metrics, "metrics"));
    }

    @Override
    public void handle(HttpExchange exchange) {
        if (exchange.request().pathWithoutQuery().equals("/metrics")) {
            exchange.respond(mMetrics.scrape());
        } else {
            exchange.respond(
                    HttpResponse.json(
                            NOT_FOUND, Json.write(Json.object().put("status", "no such route"))));
        }
    }
}
