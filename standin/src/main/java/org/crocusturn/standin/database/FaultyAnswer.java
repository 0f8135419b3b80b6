package org.crocusturn.standin.database;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.crocusturn.daemon.net.HttpExchange;

/** Sends the answer of a command in the way that its fault demands. */
final class FaultyAnswer {
    private final HttpExchange mExchange;
    private final Optional<Fault> mFault;
    private final BiConsumer<Long, Runnable> mAfter;

    FaultyAnswer(HttpExchange exchange, Optional<Fault> fault, BiConsumer<Long, Runnable> after) {
        mExchange = exchange;
        mFault = fault;
        mAfter = after;
    }

    void send(Answers answer) {
        if (mFault.isEmpty()) {
            mExchange.respond(answer.encode());
            return;
        }
        switch (mFault.get().kind()) {
            case LATE ->
                    mAfter.accept(mFault.get().millis(), () -> mExchange.respond(answer.encode()));
            case SPLIT -> mExchange.respond(answer.encode().withHeader(SplitWriter.HEADER, "1"));
            case CROSSED -> mExchange.respond(crossed(answer).encode());
            case DROP_AFTER -> mExchange.connection().close();
            default -> {
                // The answer is lost; the connection stays open.
            }
        }
    }

    private static Answers crossed(Answers answer) {
        ObjectNode body = answer.body().deepCopy();
        return new Answers(answer.status(), body.put("request", "of-another-connection"));
    }
}
