package org.crocusturn.core;

import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.stream.Stream;

/**
 * An immutable hash array mapped trie whose modified copies share most of their nodes.
 *
 * <p>Thread-safe. A lookup or a modification visits one node for each five bits of the hash that
 * are needed to distinguish the keys, at most seven nodes. The iteration order depends on the
 * hashes of the keys, and on the order of insertion only among keys of equal hash. Null keys and
 * values are not allowed.
 *
 * @param <K> type of the keys
 * @param <V> type of the values
 */
public final class PersistentMap<K, V> {
    private static final int BITS_PER_LEVEL = 5;
    private static final int LEVEL_MASK = (1 << BITS_PER_LEVEL) - 1;
    private static final PersistentMap<?, ?> EMPTY = new PersistentMap<>(null, 0);

    private final Object mRoot;
    private final int mSize;

    private PersistentMap(Object root, int size) {
        mRoot = root;
        mSize = size;
    }

    /** A key and its value. */
    public record Entry<K, V>(K key, V value) {}

    /**
     * A node of up to 32 children; each set bit of the bitmap stands for a child that is present.
     */
    private record Branch(int bitmap, Object[] children) {}

    /** A node of the entries whose keys have the same hash. */
    private record Collision(int hash, Entry<?, ?>[] entries) {}

    /** Returns the empty map. */
    @SuppressWarnings("unchecked") // the empty map holds neither keys nor values
    public static <K, V> PersistentMap<K, V> empty() {
        return (PersistentMap<K, V>) EMPTY;
    }

    /** Returns the number of entries. */
    public int size() {
        return mSize;
    }

    /** Returns whether the map has no entries. */
    public boolean isEmpty() {
        return mSize == 0;
    }

    /** Returns the value of a key, or null if there is none. */
    @SuppressWarnings("unchecked") // only entries of K and V are ever stored
    public V get(K key) {
        int hash = spread(key);
        Object node = mRoot;
        for (int shift = 0; node instanceof Branch branch; shift += BITS_PER_LEVEL) {
            int bit = 1 << ((hash >>> shift) & LEVEL_MASK);
            if ((branch.bitmap() & bit) == 0) {
                return null;
            }
            node = branch.children()[childIndex(branch.bitmap(), bit)];
        }
        if (node instanceof Entry<?, ?> entry) {
            return entry.key().equals(key) ? (V) entry.value() : null;
        }
        if (node instanceof Collision collision) {
            int index = indexOf(collision, key);
            return index < 0 ? null : (V) collision.entries()[index].value();
        }
        return null;
    }

    /** Returns the value of a key, if there is one. */
    public Optional<V> find(K key) {
        return Optional.ofNullable(get(key));
    }

    /** Returns whether the map contains a key. */
    public boolean contains(K key) {
        return get(key) != null;
    }

    /** Returns the entries. */
    @SuppressWarnings("unchecked") // only entries of K and V are ever stored
    public Stream<Entry<K, V>> entries() {
        return streamEntries(mRoot).map(e -> (Entry<K, V>) e);
    }

    /** Returns the values. */
    public Stream<V> values() {
        return entries().map(Entry::value);
    }

    /** Returns the keys. */
    public Stream<K> keys() {
        return entries().map(Entry::key);
    }

    /** Calls an action with each entry. */
    public void forEach(BiConsumer<K, V> action) {
        entries().forEach(e -> action.accept(e.key(), e.value()));
    }

    /** Returns a copy in which a key is mapped to a value. */
    public PersistentMap<K, V> with(K key, V value) {
        Objects.requireNonNull(value, "value");
        boolean exists = contains(key);
        Object root = put(mRoot, new Entry<>(key, value), spread(key), 0);
        return new PersistentMap<>(root, exists ? mSize : mSize + 1);
    }

    /** Returns a copy without a key. */
    public PersistentMap<K, V> without(K key) {
        if (!contains(key)) {
            return this;
        }
        return mSize == 1
                ? empty()
                : new PersistentMap<>(remove(mRoot, key, spread(key), 0), mSize - 1);
    }

    private static int spread(Object key) {
        int hash = Objects.requireNonNull(key, "key").hashCode();
        return hash ^ (hash >>> 16);
    }

    private static int childIndex(int bitmap, int bit) {
        return Integer.bitCount(bitmap & (bit - 1));
    }

    private static int indexOf(Collision collision, Object key) {
        Entry<?, ?>[] entries = collision.entries();
        for (int i = 0; i < entries.length; i++) {
            if (entries[i].key().equals(key)) {
                return i;
            }
        }
        return -1;
    }

    private static Object put(Object node, Entry<?, ?> entry, int hash, int shift) {
        if (node == null) {
            return entry;
        }
        if (node instanceof Entry<?, ?> old) {
            if (old.key().equals(entry.key())) {
                return entry;
            }
            return merge(old, spread(old.key()), entry, hash, shift);
        }
        if (node instanceof Collision collision) {
            if (collision.hash() != hash) {
                return merge(collision, collision.hash(), entry, hash, shift);
            }
            int index = indexOf(collision, entry.key());
            Entry<?, ?>[] old = collision.entries();
            Entry<?, ?>[] copy = Arrays.copyOf(old, index < 0 ? old.length + 1 : old.length);
            copy[index < 0 ? old.length : index] = entry;
            return new Collision(hash, copy);
        }
        Branch branch = (Branch) node;
        int bit = 1 << ((hash >>> shift) & LEVEL_MASK);
        int index = childIndex(branch.bitmap(), bit);
        if ((branch.bitmap() & bit) != 0) {
            Object[] copy = branch.children().clone();
            copy[index] = put(copy[index], entry, hash, shift + BITS_PER_LEVEL);
            return new Branch(branch.bitmap(), copy);
        }
        Object[] old = branch.children();
        Object[] copy = new Object[old.length + 1];
        System.arraycopy(old, 0, copy, 0, index);
        copy[index] = entry;
        System.arraycopy(old, index, copy, index + 1, old.length - index);
        return new Branch(branch.bitmap() | bit, copy);
    }

    private static Object merge(Object old, int oldHash, Entry<?, ?> entry, int hash, int shift) {
        if (oldHash == hash) {
            return new Collision(hash, new Entry<?, ?>[] {(Entry<?, ?>) old, entry});
        }
        int oldSlot = (oldHash >>> shift) & LEVEL_MASK;
        int slot = (hash >>> shift) & LEVEL_MASK;
        if (oldSlot == slot) {
            Object child = merge(old, oldHash, entry, hash, shift + BITS_PER_LEVEL);
            return new Branch(1 << slot, new Object[] {child});
        }
        Object[] children = oldSlot < slot ? new Object[] {old, entry} : new Object[] {entry, old};
        return new Branch(1 << oldSlot | 1 << slot, children);
    }

    /** Returns the node without the key, or null if the node becomes empty. */
    private static Object remove(Object node, Object key, int hash, int shift) {
        if (node instanceof Entry<?, ?>) {
            return null;
        }
        if (node instanceof Collision collision) {
            Entry<?, ?>[] remaining =
                    Arrays.stream(collision.entries())
                            .filter(e -> !e.key().equals(key))
                            .toArray(Entry<?, ?>[]::new);
            return remaining.length == 1 ? remaining[0] : new Collision(hash, remaining);
        }
        Branch branch = (Branch) node;
        int bit = 1 << ((hash >>> shift) & LEVEL_MASK);
        int index = childIndex(branch.bitmap(), bit);
        Object[] old = branch.children();
        Object child = remove(old[index], key, hash, shift + BITS_PER_LEVEL);
        if (child == null) {
            return removeChild(branch, bit, index);
        }
        if (old.length == 1 && !(child instanceof Branch)) {
            return child;
        }
        Object[] copy = old.clone();
        copy[index] = child;
        return new Branch(branch.bitmap(), copy);
    }

    private static Object removeChild(Branch branch, int bit, int index) {
        Object[] old = branch.children();
        if (old.length == 1) {
            return null;
        }
        Object sibling = old[1 - Math.min(index, 1)];
        if (old.length == 2 && !(sibling instanceof Branch)) {
            return sibling;
        }
        Object[] copy = new Object[old.length - 1];
        System.arraycopy(old, 0, copy, 0, index);
        System.arraycopy(old, index + 1, copy, index, copy.length - index);
        return new Branch(branch.bitmap() & ~bit, copy);
    }

    private static Stream<Entry<?, ?>> streamEntries(Object node) {
        if (node instanceof Entry<?, ?> entry) {
            return Stream.of(entry);
        }
        if (node instanceof Collision collision) {
            return Arrays.stream(collision.entries());
        }
        return node instanceof Branch branch
                ? Arrays.stream(branch.children()).flatMap(PersistentMap::streamEntries)
                : Stream.empty();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof PersistentMap<?, ?> map
                && map.mSize == mSize
                && entries().allMatch(e -> e.value().equals(valueIn(map, e.key())));
    }

    @SuppressWarnings("unchecked") // a key of another type is not found
    private static Object valueIn(PersistentMap<?, ?> map, Object key) {
        return ((PersistentMap<Object, ?>) map).get(key);
    }

    @Override
    public int hashCode() {
        return entries().mapToInt(Entry::hashCode).sum();
    }

    @Override
    public String toString() {
        return entries().map(e -> e.key() + "=" + e.value()).toList().toString();
    }
}
