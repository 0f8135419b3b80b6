package org.crocusturn.daemon.operators;

import java.util.Objects;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.ring.Duty;
import org.crocusturn.daemon.net.HttpExchange;
import org.crocusturn.daemon.net.HttpHandler;
import org.crocusturn.daemon.settings.Secret;

/** Authenticates operators by their secret and passes their requests to {@link OperatorDuty}. */
public final class OperatorRoutes implements HttpHandler {
    private static final String BEARER = "Bearer ";

    private final Secret mSecret;
    private final Duty<OperatorEvent> mDuty;

    private OperatorRoutes(Secret secret, Duty<OperatorEvent> duty) {
        mSecret = secret;
        mDuty = duty;
    }

    /** Creates the handler. */
    public static OperatorRoutes create(Secret secret, Duty<OperatorEvent> duty) {
        return new OperatorRoutes(
                Objects.requireNonNull(secret, "secret"), Objects.requireNonNull(duty, "duty"));
    }

    private boolean isAuthorized(HttpExchange exchange) {
        return exchange.request()
                .header("authorization")
                .filter(value -> value.startsWith(BEARER))
                .map(value -> mSecret.matches(value.substring(BEARER.length())))
                .orElse(false);
    }

    @Override
    public void handle(HttpExchange exchange) {
        if (!mSecret.isNone() && !isAuthorized(exchange)) {
            exchange.respond(
                    OperatorResponses.failure(
                            Failure.notRun(ErrorCode.KEY_REFUSED, "the operator secret is wrong")));
        } else if (!mDuty.offer(new OperatorEvent.RequestReceived(exchange))) {
            exchange.respond(
                    OperatorResponses.failure(
                            Failure.notRun(ErrorCode.OVERLOADED, "the request queue is full")));
        }
    }
}
