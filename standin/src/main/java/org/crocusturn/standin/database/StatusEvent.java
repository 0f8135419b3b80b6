package org.crocusturn.standin.database;

import org.crocusturn.daemon.net.HttpExchange;

/** An event of {@link StatusDuty}. */
sealed interface StatusEvent {
    /** A request arrived on the status port. */
    record RequestReceived(HttpExchange exchange) implements StatusEvent {}

    /** The state or the log of a copy changed. */
    record CopyChanged() implements StatusEvent {}
}
