package org.crocusturn.core.callers;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.KeyRecord;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Remembers keys that have just left their workspace. Immutable.
 *
 * <p>Until the operator and all hosts know of the change, a new session with such a key on a route
 * that is open to all would run for no one or for another workspace, while its caller still counts
 * as one of the old workspace. Costs O(keys) for each change of the keys.
 *
 * @param untilNanos steady time by hash until which a key counts as just withdrawn
 */
public record WithdrawnKeys(PMap<String, Long> untilNanos) {
    /** No key has left its workspace. */
    public static final WithdrawnKeys NONE = new WithdrawnKeys(HashTreePMap.empty());

    /** Time in which a configuration is in force on all hosts and its operator has an answer. */
    static final long SPREAD_NANOS = Duration.ofSeconds(3).toNanos();

    /** Checks that the map is not null. */
    public WithdrawnKeys {
        Objects.requireNonNull(untilNanos, "untilNanos");
    }

    /** Returns the keys after a change of the replicated state. */
    public WithdrawnKeys with(ControlState before, ControlState after, long nowNanos) {
        if (before.keys() == after.keys()) {
            return this;
        }
        List<String> over =
                untilNanos.entrySet().stream()
                        .filter(e -> nowNanos - e.getValue() >= 0)
                        .map(Map.Entry::getKey)
                        .toList();
        PMap<String, Long> next = untilNanos.minusAll(over);
        for (KeyRecord key : before.keys().values()) {
            KeyRecord now = after.keys().get(key.hash());
            if (now == null || !now.workspace().equals(key.workspace())) {
                next = next.plus(key.hash(), nowNanos + SPREAD_NANOS);
            }
        }
        return new WithdrawnKeys(next);
    }

    /** Returns whether a key has left its workspace just now. */
    public boolean contains(String hash, long nowNanos) {
        Long until = untilNanos.get(hash);
        return until != null && nowNanos - until < 0;
    }
}
