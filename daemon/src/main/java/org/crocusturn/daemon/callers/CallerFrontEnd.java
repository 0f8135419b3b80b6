package org.crocusturn.daemon.callers;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.daemon.net.HttpExchange;
import org.crocusturn.daemon.net.HttpHandler;
import org.crocusturn.daemon.net.HttpRequest;
import org.crocusturn.daemon.net.HttpResponse;
import org.crocusturn.daemon.net.Json;

/**
 * Parses HTTP requests of callers and passes them to a sink.
 *
 * <p>Thread-safe. Keys are replaced by their hashes at once. A request that can be refused without
 * its body is refused before the body is parsed.
 */
public final class CallerFrontEnd implements HttpHandler {
    private static final HttpResponse OPEN_RESPONSE =
            HttpResponse.json(200, Json.write(Json.object().put("status", "open")));

    private final CallerSink mSink;
    private final Supplier<Set<String>> mOpenRoutes;
    private final AtomicLong mNextId = new AtomicLong(1);

    private CallerFrontEnd(CallerSink sink, Supplier<Set<String>> openRoutes) {
        mSink = sink;
        mOpenRoutes = openRoutes;
    }

    /**
     * Creates the front end.
     *
     * @param sink receives the requests
     * @param openRoutes supplies the currently configured paths that need no key
     */
    public static CallerFrontEnd create(CallerSink sink, Supplier<Set<String>> openRoutes) {
        return new CallerFrontEnd(
                Objects.requireNonNull(sink, "sink"),
                Objects.requireNonNull(openRoutes, "openRoutes"));
    }

    @Override
    public void handle(HttpExchange exchange) {
        HttpRequest request = exchange.request();
        exchange.releaseRequest();
        if (request.method().equals("GET")
                && mOpenRoutes.get().contains(request.pathWithoutQuery())) {
            exchange.respond(OPEN_RESPONSE);
            return;
        }
        AnswerCallback reply = answer -> exchange.respond(AnswerEncoder.encode(answer));
        try {
            if (!mSink.offer(parse(request), reply)) {
                throw CrocusturnException.notRun(
                        ErrorCode.OVERLOADED, "this host has too many waiting requests");
            }
        } catch (CrocusturnException e) {
            reply.complete(CallerAnswer.of(e.failure()));
        }
    }

    private ParsedRequest parse(HttpRequest request) {
        String keyHash = CallerHeaders.keyHash(request);
        Optional<Failure> refusal = mSink.refusal(keyHash);
        if (refusal.isPresent()) {
            throw CrocusturnException.of(refusal.get());
        }
        CallerRoute route = CallerRoute.parse(request.method(), request.path());
        Optional<String> session = CallerHeaders.session(request);
        CallerHeaders.requireJsonContentType(request);
        return new ParsedRequest(
                mNextId.getAndIncrement(), keyHash, session, route.toOperation(request.body()));
    }
}
