package org.crocusturn.daemon.endpoints;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.crocusturn.core.EndpointId;

/** Copies of a group according to the replicated state; not thread-safe. */
final class CopySet {
    private final Map<EndpointId, CopyPool> mCopies = new TreeMap<>();

    /** Applies the endpoints of the latest view and returns the copies that were removed. */
    List<CopyPool> update(GroupSettings settings) {
        List<CopyPool> removed =
                mCopies.values().stream()
                        .filter(pool -> settings.endpoints().stream().noneMatch(pool::isSameAs))
                        .toList();
        removed.forEach(pool -> mCopies.remove(pool.record().id()));
        settings.endpoints()
                .forEach(
                        record ->
                                mCopies.computeIfAbsent(
                                                record.id(),
                                                id -> new CopyPool(record, settings.connections()))
                                        .update(record, settings.connections()));
        return removed;
    }

    Optional<CopyPool> find(EndpointId endpoint) {
        return Optional.ofNullable(mCopies.get(endpoint));
    }

    Collection<CopyPool> values() {
        return mCopies.values();
    }

    int size() {
        return mCopies.size();
    }

    /** Returns the number of statements that all copies together can run concurrently. */
    int slots() {
        return mCopies.values().stream().mapToInt(CopyPool::slots).sum();
    }
}
