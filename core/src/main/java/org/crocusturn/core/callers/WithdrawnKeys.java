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
 * The keys that were recently withdrawn or moved to another workspace. Immutable.
 *
 * <p>Until the change has reached all hosts and the operator, the caller still counts as one of the
 * old workspace. A new session with such a key on a route that is open to all would meanwhile run
 * anonymously or for the new workspace. Each change of the keys takes O(keys) time.
 *
 * @param untilNanos steady time until which a key counts as recently withdrawn, in nanoseconds, by
 *     the hash of the key
 */
public record WithdrawnKeys(PMap<String, Long> untilNanos) {
    /** The empty set of keys. */
    public static final WithdrawnKeys EMPTY = new WithdrawnKeys(HashTreePMap.empty());

    /** Time within which a configuration reaches all hosts and its operator is answered. */
    static final long PROPAGATION_NANOS = Duration.ofSeconds(3).toNanos();

    /** Checks that the map is not null. */
    public WithdrawnKeys {
        Objects.requireNonNull(untilNanos, "untilNanos");
    }

    /** Returns the keys after a change of the replicated state. */
    public WithdrawnKeys afterChange(ControlState before, ControlState after, long nowNanos) {
        if (before.keys() == after.keys()) {
            return this;
        }
        List<String> expired =
                untilNanos.entrySet().stream()
                        .filter(e -> nowNanos - e.getValue() >= 0)
                        .map(Map.Entry::getKey)
                        .toList();
        PMap<String, Long> updated = untilNanos.minusAll(expired);
        for (KeyRecord key : before.keys().values()) {
            KeyRecord current = after.keys().get(key.hash());
            if (current == null || !current.workspace().equals(key.workspace())) {
                updated = updated.plus(key.hash(), nowNanos + PROPAGATION_NANOS);
            }
        }
        return new WithdrawnKeys(updated);
    }

    /** Returns whether a key was recently withdrawn or moved to another workspace. */
    public boolean contains(String hash, long nowNanos) {
        Long until = untilNanos.get(hash);
        return until != null && nowNanos - until < 0;
    }
}
