package org.crocusturn.core;

import java.util.ArrayList;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.Objects;

/**
 * An immutable first-in-first-out queue whose modified copies share their nodes.
 *
 * <p>Thread-safe. Adding and removing an element take amortized constant time: a removal that
 * empties the front list reverses the list of elements added since the previous reversal. Null
 * elements are not allowed.
 *
 * @param <T> type of the elements
 */
public final class PersistentQueue<T> {
    private static final PersistentQueue<?> EMPTY = new PersistentQueue<>(null, null, 0);

    private final Node<T> mFront;
    private final Node<T> mBack;
    private final int mSize;

    private PersistentQueue(Node<T> front, Node<T> back, int size) {
        mFront = front;
        mBack = back;
        mSize = size;
    }

    private record Node<T>(T value, Node<T> next) {}

    /** Returns the empty queue. */
    @SuppressWarnings("unchecked") // the empty queue holds no elements
    public static <T> PersistentQueue<T> empty() {
        return (PersistentQueue<T>) EMPTY;
    }

    /** Returns a queue of the given elements in order. */
    public static <T> PersistentQueue<T> of(List<T> elements) {
        PersistentQueue<T> queue = empty();
        for (T element : elements) {
            queue = queue.plus(element);
        }
        return queue;
    }

    /** Returns the number of elements. */
    public int size() {
        return mSize;
    }

    /** Returns whether the queue has no elements. */
    public boolean isEmpty() {
        return mSize == 0;
    }

    /**
     * Returns the first element.
     *
     * @throws NoSuchElementException if the queue is empty
     */
    public T first() {
        if (mFront == null) {
            throw new NoSuchElementException("the queue is empty");
        }
        return mFront.value();
    }

    /** Returns the elements in order. */
    public List<T> toList() {
        List<T> elements = new ArrayList<>(mSize);
        for (Node<T> node = mFront; node != null; node = node.next()) {
            elements.add(node.value());
        }
        for (Node<T> node = reverse(mBack); node != null; node = node.next()) {
            elements.add(node.value());
        }
        return elements;
    }

    /** Returns a copy with an element at the end. */
    public PersistentQueue<T> plus(T element) {
        Objects.requireNonNull(element, "element");
        return mFront == null
                ? new PersistentQueue<>(new Node<>(element, null), null, 1)
                : new PersistentQueue<>(mFront, new Node<>(element, mBack), mSize + 1);
    }

    /** Returns a copy with an element at the start. */
    public PersistentQueue<T> plusFirst(T element) {
        Objects.requireNonNull(element, "element");
        return new PersistentQueue<>(new Node<>(element, mFront), mBack, mSize + 1);
    }

    /** Returns a copy without the first element, or the empty queue if there is none. */
    public PersistentQueue<T> withoutFirst() {
        if (mSize <= 1) {
            return empty();
        }
        return mFront.next() == null
                ? new PersistentQueue<>(reverse(mBack), null, mSize - 1)
                : new PersistentQueue<>(mFront.next(), mBack, mSize - 1);
    }

    private static <T> Node<T> reverse(Node<T> first) {
        Node<T> reversed = null;
        for (Node<T> node = first; node != null; node = node.next()) {
            reversed = new Node<>(node.value(), reversed);
        }
        return reversed;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof PersistentQueue<?> queue && queue.toList().equals(toList());
    }

    @Override
    public int hashCode() {
        return toList().hashCode();
    }

    @Override
    public String toString() {
        return toList().toString();
    }
}
