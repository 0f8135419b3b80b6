package org.crocusturn.core.ring;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.stream.Collectors;

/** The memory that a process gives to each purpose, as shares of its heap. Safe for any thread. */
public final class MemoryBudget {
    private final Map<Purpose, ByteBudget> mShares;

    private MemoryBudget(Map<Purpose, ByteBudget> shares) {
        mShares = new EnumMap<>(shares);
    }

    /** What memory is used for. */
    public enum Purpose {
        /** Lines of callers that are incomplete, and their statements without an answer. */
        STATEMENTS(4),
        /** Values and prepared statements of sessions. */
        SESSION_VALUES(16),
        /** Large calls that a leaseholder has received and not answered. */
        CALLS(8),
        /** Answers of databases on their way to callers. */
        ANSWERS(8);

        private final int mHeapDivisor;

        Purpose(int heapDivisor) {
            mHeapDivisor = heapDivisor;
        }
    }

    /** Creates the budget of a process with a heap of the given size. */
    public static MemoryBudget ofHeap(long heapBytes) {
        return new MemoryBudget(
                Arrays.stream(Purpose.values())
                        .collect(
                                Collectors.toMap(
                                        purpose -> purpose,
                                        purpose ->
                                                ByteBudget.of(heapBytes / purpose.mHeapDivisor))));
    }

    /** Creates the budget of this process. */
    public static MemoryBudget ofProcess() {
        return ofHeap(Runtime.getRuntime().maxMemory());
    }

    /** Returns the share of a purpose. */
    public ByteBudget share(Purpose purpose) {
        return mShares.get(purpose);
    }
}
