package org.crocusturn.daemon.endpoints;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Objects;
import java.util.function.Consumer;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.operators.EndpointRecord;
import org.crocusturn.daemon.net.HttpExchange;
import org.crocusturn.daemon.net.HttpHandler;
import org.crocusturn.daemon.net.HttpRequest;
import org.crocusturn.daemon.net.HttpResponse;
import org.crocusturn.daemon.net.Json;

/** HTTP handler that passes endpoint announcements to a listener on the I/O thread. */
public final class AnnouncementHandler implements HttpHandler {
    /** HTTP path of announcements. */
    public static final String ROUTE = "/v1/announcements";

    private static final int OK = 200;
    private static final int MALFORMED = 400;
    private static final int UNAUTHORISED = 401;
    private static final int NOT_FOUND = 404;

    private final byte[] mExpectedAuthorization;
    private final Consumer<EndpointRecord> mListener;

    private AnnouncementHandler(byte[] expectedAuthorization, Consumer<EndpointRecord> listener) {
        mExpectedAuthorization = expectedAuthorization;
        mListener = listener;
    }

    /**
     * Creates the handler.
     *
     * @param secret bearer secret of the endpoints, not empty
     * @param listener receives each valid announcement; must not block
     */
    public static AnnouncementHandler create(String secret, Consumer<EndpointRecord> listener) {
        if (secret.isEmpty()) {
            throw new IllegalArgumentException("the announcement secret must not be empty");
        }
        return new AnnouncementHandler(
                ("Bearer " + secret).getBytes(StandardCharsets.UTF_8),
                Objects.requireNonNull(listener, "listener"));
    }

    @Override
    public void handle(HttpExchange exchange) {
        exchange.respond(handleAnnouncement(exchange.request()));
    }

    private HttpResponse handleAnnouncement(HttpRequest request) {
        if (!request.method().equals("POST") || !request.pathWithoutQuery().equals(ROUTE)) {
            return refusal(NOT_FOUND, Failure.notRun(ErrorCode.NOT_FOUND, "no such route"));
        }
        if (!authorised(request)) {
            return refusal(
                    UNAUTHORISED,
                    Failure.notRun(ErrorCode.KEY_REFUSED, "the announcement secret is wrong"));
        }
        try {
            mListener.accept(EndpointJson.announcement(Json.read(request.body())));
            return HttpResponse.json(OK, Json.write(Json.object()));
        } catch (CrocusturnException e) {
            return refusal(MALFORMED, e.failure());
        }
    }

    private boolean authorised(HttpRequest request) {
        byte[] sent = request.header("authorization").orElse("").getBytes(StandardCharsets.UTF_8);
        return MessageDigest.isEqual(mExpectedAuthorization, sent);
    }

    private static HttpResponse refusal(int status, Failure failure) {
        return HttpResponse.json(
                status,
                Json.write(
                        Json.object()
                                .put("code", failure.code().wireName())
                                .put("message", failure.message())
                                .put("verdict", failure.verdict().wireName())));
    }
}
