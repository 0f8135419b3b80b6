package org.crocusturn.standin.database;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import org.crocusturn.daemon.endpoints.JsonFields;

/** Holds the current behaviour of a stand-in. This class is thread-safe. */
final class CurrentBehaviour {
    private final AtomicReference<Behaviour> mBehaviour;

    CurrentBehaviour(Behaviour initial) {
        mBehaviour = new AtomicReference<>(initial);
    }

    Behaviour get() {
        return mBehaviour.get();
    }

    void update(UnaryOperator<Behaviour> change) {
        mBehaviour.updateAndGet(change);
    }

    /** Returns the first fault that applies to a request and decrements its count. */
    Optional<Fault> consumeFault(String database, String route) {
        return consumeFault(fault -> fault.matches(database, route));
    }

    /**
     * Returns the first fault that names the route of a request outside of a session, and
     * decrements its count.
     *
     * @param database database of the request; empty if it concerns none
     */
    Optional<Fault> consumeFaultOfRoute(String database, String route) {
        return consumeFault(f -> f.route().isPresent() && f.matches(database, route));
    }

    private Optional<Fault> consumeFault(Predicate<Fault> applies) {
        while (true) {
            Behaviour current = mBehaviour.get();
            Optional<Fault> matching = current.faults().stream().filter(applies).findFirst();
            if (matching.isEmpty()
                    || mBehaviour.compareAndSet(
                            current, current.withFaultConsumed(matching.get()))) {
                return matching;
            }
        }
    }

    /** Updates the fields that are present in a body of {@code POST /v1/faults}. */
    void update(JsonNode body) {
        update(
                b ->
                        body.has("connectMillis")
                                ? b.withConnectMillis(nonNegative(body, "connectMillis"))
                                : b);
        update(
                b ->
                        body.has("statementMillis")
                                ? b.withStatementMillis(nonNegative(body, "statementMillis"))
                                : b);
        update(b -> body.has("lagMillis") ? b.withLagMillis(nonNegative(body, "lagMillis")) : b);
        update(
                b ->
                        body.has("replicationPaused")
                                ? b.withReplicationPaused(
                                        JsonFields.bool(body, "replicationPaused"))
                                : b);
        update(
                b ->
                        body.has("statusSilent")
                                ? b.withStatusSilent(JsonFields.bool(body, "statusSilent"))
                                : b);
        if (body.has("faults")) {
            List<Fault> faults = JsonFields.list(body, "faults", (node, name) -> parseFault(node));
            update(b -> b.withFaults(faults));
        }
    }

    private static Fault parseFault(JsonNode node) {
        String kind = JsonFields.text(node, "kind").toUpperCase(Locale.ROOT).replace('-', '_');
        try {
            return new Fault(
                    Fault.Kind.valueOf(kind),
                    optionalText(node, "database"),
                    optionalText(node, "route"),
                    node.has("millis") ? nonNegative(node, "millis") : 0,
                    node.has("times") ? (int) JsonFields.integer(node, "times", 1) : 1);
        } catch (IllegalArgumentException e) {
            throw JsonFields.malformed("field \"kind\" must be the name of a fault kind");
        }
    }

    private static Optional<String> optionalText(JsonNode node, String name) {
        return node.has(name) ? Optional.of(JsonFields.text(node, name)) : Optional.empty();
    }

    private static long nonNegative(JsonNode node, String name) {
        return JsonFields.integer(node, name, 0);
    }
}
