package org.crocusturn.standin.database;

import org.crocusturn.daemon.net.HttpExchange;

/** Is what the status duty reacts to. */
sealed interface StatusDutyEvent {
    /** A request arrived on the status port. */
    record Asked(HttpExchange exchange) implements StatusDutyEvent {}

    /** A copy changed. */
    record Changed() implements StatusDutyEvent {}
}
