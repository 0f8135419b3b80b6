package org.crocusturn.standin.database;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.crocusturn.daemon.net.HttpExchange;

/** Sends the answer of a command and applies the fault of the request to it. */
final class FaultInjectingSender {
    private final HttpExchange mExchange;
    private final Optional<Fault> mFault;
    private final BiConsumer<Long, Runnable> mScheduler;

    FaultInjectingSender(
            HttpExchange exchange, Optional<Fault> fault, BiConsumer<Long, Runnable> scheduler) {
        mExchange = exchange;
        mFault = fault;
        mScheduler = scheduler;
    }

    void send(JsonResponse response) {
        if (mFault.isEmpty()) {
            mExchange.respond(response.toHttpResponse());
            return;
        }
        switch (mFault.get().kind()) {
            case LATE ->
                    mScheduler.accept(
                            mFault.get().millis(),
                            () -> mExchange.respond(response.toHttpResponse()));
            case SPLIT ->
                    mExchange.respond(
                            response.toHttpResponse().withHeader(SplitWriter.HEADER, "1"));
            case CROSSED -> mExchange.respond(withOtherRequestId(response).toHttpResponse());
            case DROP_AFTER -> mExchange.connection().close();
            default -> {
                // LOST: no answer is sent, and the connection stays open.
            }
        }
    }

    private static JsonResponse withOtherRequestId(JsonResponse response) {
        ObjectNode body = response.body().deepCopy();
        return new JsonResponse(response.status(), body.put("request", "of-another-connection"));
    }
}
