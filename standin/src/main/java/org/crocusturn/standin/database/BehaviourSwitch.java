package org.crocusturn.standin.database;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;
import org.crocusturn.daemon.endpoints.JsonFields;

/** Holds the present behaviour of a stand-in; safe for any thread. */
final class BehaviourSwitch {
    private final AtomicReference<Behaviour> mBehaviour;

    BehaviourSwitch(Behaviour first) {
        mBehaviour = new AtomicReference<>(first);
    }

    Behaviour get() {
        return mBehaviour.get();
    }

    void change(UnaryOperator<Behaviour> change) {
        mBehaviour.updateAndGet(change);
    }

    /** Takes the first fault that a request meets, so that it counts once less. */
    Optional<Fault> take(String database, String route) {
        while (true) {
            Behaviour before = mBehaviour.get();
            Optional<Fault> met =
                    before.faults().stream().filter(f -> f.concerns(database, route)).findFirst();
            if (met.isEmpty() || mBehaviour.compareAndSet(before, before.withTaken(met.get()))) {
                return met;
            }
        }
    }

    /** Changes the parts that a body of {@code POST /v1/faults} names. */
    void change(JsonNode body) {
        change(b -> body.has("connectMillis") ? b.withConnectMillis(at(body, "connectMillis")) : b);
        change(
                b ->
                        body.has("statementMillis")
                                ? b.withStatementMillis(at(body, "statementMillis"))
                                : b);
        change(b -> body.has("lagMillis") ? b.withLagMillis(at(body, "lagMillis")) : b);
        change(
                b ->
                        body.has("replicationPaused")
                                ? b.withReplicationPaused(
                                        JsonFields.bool(body, "replicationPaused"))
                                : b);
        change(
                b ->
                        body.has("statusSilent")
                                ? b.withStatusSilent(JsonFields.bool(body, "statusSilent"))
                                : b);
        if (body.has("faults")) {
            List<Fault> faults = JsonFields.list(body, "faults", (node, name) -> fault(node));
            change(b -> b.withFaults(faults));
        }
    }

    private static Fault fault(JsonNode node) {
        String kind = JsonFields.text(node, "kind").toUpperCase(Locale.ROOT).replace('-', '_');
        try {
            return new Fault(
                    Fault.Kind.valueOf(kind),
                    optional(node, "database"),
                    optional(node, "route"),
                    node.has("millis") ? at(node, "millis") : 0,
                    node.has("times") ? (int) JsonFields.integer(node, "times", 1) : 1);
        } catch (IllegalArgumentException e) {
            throw JsonFields.malformed("field \"kind\" must be the name of a fault");
        }
    }

    private static Optional<String> optional(JsonNode node, String name) {
        return node.has(name) ? Optional.of(JsonFields.text(node, name)) : Optional.empty();
    }

    private static long at(JsonNode node, String name) {
        return JsonFields.integer(node, name, 0);
    }
}
