package org.crocusturn.daemon.wire;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * Keeps the encoded forms of the latest values, so that a message to many hosts is encoded once.
 * Values are compared by identity. Thread-safe.
 *
 * @param <V> immutable values
 * @param <E> immutable encoded forms
 */
final class EncodingCache<V, E> {
    private final int mSize;
    private final Function<V, E> mEncoder;
    private final AtomicReference<List<Entry<V, E>>> mEntries = new AtomicReference<>(List.of());

    private EncodingCache(int size, Function<V, E> encoder) {
        mSize = size;
        mEncoder = encoder;
    }

    private record Entry<V, E>(V value, E encoded) {}

    static <V, E> EncodingCache<V, E> ofSize(int size, Function<V, E> encoder) {
        return new EncodingCache<>(size, encoder);
    }

    E encode(V value) {
        Optional<E> known =
                mEntries.get().stream()
                        .filter(entry -> entry.value() == value)
                        .map(Entry::encoded)
                        .findFirst();
        return known.orElseGet(() -> add(value));
    }

    private E add(V value) {
        Entry<V, E> added = new Entry<>(value, mEncoder.apply(value));
        mEntries.updateAndGet(
                entries -> Stream.concat(Stream.of(added), entries.stream()).limit(mSize).toList());
        return added.encoded();
    }
}
