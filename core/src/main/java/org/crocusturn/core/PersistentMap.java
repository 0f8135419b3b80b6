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
    private static final int BITS = 5;
    private static final int MASK = (1 << BITS) - 1;
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
        for (int shift = 0; node instanceof Branch branch; shift += BITS) {
            int bit = 1 << ((hash >>> shift) & MASK);
            if ((branch.bitmap() & bit) == 0) {
                return null;
            }
            node = branch.children()[index(branch.bitmap(), bit)];
        }
        if (node instanceof Entry<?, ?> entry) {
            return entry.key().equals(key) ? (V) entry.value() : null;
        }
        if (node instanceof Collision collision) {
            int at = position(collision, key);
            return at < 0 ? null : (V) collision.entries()[at].value();
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
        return stream(mRoot).map(e -> (Entry<K, V>) e);
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
        boolean known = contains(key);
        Object root = put(mRoot, new Entry<>(key, value), spread(key), 0);
        return new PersistentMap<>(root, known ? mSize : mSize + 1);
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

    private static int index(int bitmap, int bit) {
        return Integer.bitCount(bitmap & (bit - 1));
    }

    private static int position(Collision collision, Object key) {
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
            return join(old, spread(old.key()), entry, hash, shift);
        }
        if (node instanceof Collision collision) {
            if (collision.hash() != hash) {
                return join(collision, collision.hash(), entry, hash, shift);
            }
            int at = position(collision, entry.key());
            Entry<?, ?>[] old = collision.entries();
            Entry<?, ?>[] copy = Arrays.copyOf(old, at < 0 ? old.length + 1 : old.length);
            copy[at < 0 ? old.length : at] = entry;
            return new Collision(hash, copy);
        }
        Branch branch = (Branch) node;
        int bit = 1 << ((hash >>> shift) & MASK);
        int at = index(branch.bitmap(), bit);
        if ((branch.bitmap() & bit) != 0) {
            Object[] copy = branch.children().clone();
            copy[at] = put(copy[at], entry, hash, shift + BITS);
            return new Branch(branch.bitmap(), copy);
        }
        Object[] old = branch.children();
        Object[] copy = new Object[old.length + 1];
        System.arraycopy(old, 0, copy, 0, at);
        copy[at] = entry;
        System.arraycopy(old, at, copy, at + 1, old.length - at);
        return new Branch(branch.bitmap() | bit, copy);
    }

    private static Object join(Object old, int oldHash, Entry<?, ?> entry, int hash, int shift) {
        if (oldHash == hash) {
            return new Collision(hash, new Entry<?, ?>[] {(Entry<?, ?>) old, entry});
        }
        int oldPart = (oldHash >>> shift) & MASK;
        int part = (hash >>> shift) & MASK;
        if (oldPart == part) {
            Object child = join(old, oldHash, entry, hash, shift + BITS);
            return new Branch(1 << part, new Object[] {child});
        }
        Object[] children = oldPart < part ? new Object[] {old, entry} : new Object[] {entry, old};
        return new Branch(1 << oldPart | 1 << part, children);
    }

    /** Returns the node without the key, or null if the node becomes empty. */
    private static Object remove(Object node, Object key, int hash, int shift) {
        if (node instanceof Entry<?, ?>) {
            return null;
        }
        if (node instanceof Collision collision) {
            Entry<?, ?>[] rest =
                    Arrays.stream(collision.entries())
                            .filter(e -> !e.key().equals(key))
                            .toArray(Entry<?, ?>[]::new);
            return rest.length == 1 ? rest[0] : new Collision(hash, rest);
        }
        Branch branch = (Branch) node;
        int bit = 1 << ((hash >>> shift) & MASK);
        int at = index(branch.bitmap(), bit);
        Object[] old = branch.children();
        Object child = remove(old[at], key, hash, shift + BITS);
        if (child == null) {
            return shrink(branch, bit, at);
        }
        if (old.length == 1 && !(child instanceof Branch)) {
            return child;
        }
        Object[] copy = old.clone();
        copy[at] = child;
        return new Branch(branch.bitmap(), copy);
    }

    private static Object shrink(Branch branch, int bit, int at) {
        Object[] old = branch.children();
        if (old.length == 1) {
            return null;
        }
        Object last = old[1 - Math.min(at, 1)];
        if (old.length == 2 && !(last instanceof Branch)) {
            return last;
        }
        Object[] copy = new Object[old.length - 1];
        System.arraycopy(old, 0, copy, 0, at);
        System.arraycopy(old, at + 1, copy, at, copy.length - at);
        return new Branch(branch.bitmap() & ~bit, copy);
    }

    private static Stream<Entry<?, ?>> stream(Object node) {
        if (node instanceof Entry<?, ?> entry) {
            return Stream.of(entry);
        }
        if (node instanceof Collision collision) {
            return Arrays.stream(collision.entries());
        }
        return node instanceof Branch branch
                ? Arrays.stream(branch.children()).flatMap(PersistentMap::stream)
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
