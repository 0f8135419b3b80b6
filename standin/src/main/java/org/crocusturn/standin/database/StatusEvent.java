package org.crocusturn.standin.database;

import org.crocusturn.daemon.net.HttpExchange;

/** Is what the status duty reacts to. */
sealed interface StatusEvent {
    /** A request arrived on the status port. */
    record RequestReceived(HttpExchange exchange) implements StatusEvent {}

    /** A copy changed. */
    record CopyChanged() implements StatusEvent {}
}
