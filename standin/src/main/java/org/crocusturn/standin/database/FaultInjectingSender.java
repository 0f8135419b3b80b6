package org.crocusturn.standin.database;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.crocusturn.daemon.net.HttpExchange;
import org.crocusturn.daemon.net.NetThreads;

/** Sends the answer of a command and applies the fault of the request to it. */
final class FaultInjectingSender {
    private final HttpExchange mExchange;
    private final Optional<Fault> mFault;
    private final NetThreads mThreads;

    FaultInjectingSender(HttpExchange exchange, Optional<Fault> fault, NetThreads threads) {
        mExchange = exchange;
        mFault = fault;
        mThreads = threads;
    }

    void send(JsonResponse response) {
        if (mFault.isEmpty()) {
            mExchange.respond(response.toHttpResponse());
            return;
        }
        switch (mFault.get().kind()) {
            case LATE ->
                    mThreads.group()
                            .schedule(
                                    () -> mExchange.respond(response.toHttpResponse()),
                                    mFault.get().millis(),
                                    TimeUnit.MILLISECONDS);
            case SPLIT, REPEATED, CUT ->
                    mExchange.respond(FaultyWriter.mark(response.toHttpResponse(), mFault.get()));
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
