package org.crocusturn.daemon.endpoints;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.crocusturn.core.HostId;
import org.crocusturn.core.entryhosts.SessionCall;
import org.crocusturn.core.ring.ByteBudget;

/**
 * The memory of the large calls that a leaseholder has received and not answered. Small ones are
 * limited by their number. Safe for any thread.
 */
public final class CallMemory {
    /** Size up to which a call is not counted, in bytes. */
    private static final long SMALL_CALL_BYTES = 16 << 10;

    private final ByteBudget mBudget;
    private final Map<HostId, Map<Long, Long>> mBytesByOrigin = new ConcurrentHashMap<>();

    private CallMemory(ByteBudget budget) {
        mBudget = budget;
    }

    /** Creates the memory of a process in the budget for calls. */
    public static CallMemory of(ByteBudget budget) {
        return new CallMemory(Objects.requireNonNull(budget, "budget"));
    }

    /** Reserves the memory of a call; returns false if it does not fit. */
    public boolean tryReserve(HostId origin, SessionCall call) {
        long bytes = size(call);
        if (bytes <= SMALL_CALL_BYTES) {
            return true;
        }
        if (!mBudget.tryReserveOrSole(bytes)) {
            return false;
        }
        mBytesByOrigin
                .computeIfAbsent(origin, o -> new ConcurrentHashMap<>())
                .put(call.id(), bytes);
        return true;
    }

    private static long size(SessionCall call) {
        long values =
                call.values().entrySet().stream()
                        .mapToLong(e -> (long) e.getKey().length() + e.getValue().length())
                        .sum();
        long shape = call.prepared().map(p -> (long) p.shape().length()).orElse(0L);
        return call.statement().text().length()
                + call.statement().argument().length()
                + shape
                + values;
    }

    /** Releases the memory of a call that was answered. */
    public void release(HostId origin, long call) {
        Optional.ofNullable(mBytesByOrigin.get(origin))
                .map(bytesByCall -> bytesByCall.remove(call))
                .ifPresent(mBudget::release);
    }

    /** Releases the memory of the calls of a lost link, which get no answer. */
    public void releaseAll(HostId origin) {
        Optional.ofNullable(mBytesByOrigin.remove(origin))
                .ifPresent(
                        bytesByCall ->
                                bytesByCall.keySet().stream()
                                        .toList()
                                        .forEach(
                                                call ->
                                                        Optional.ofNullable(
                                                                        bytesByCall.remove(call))
                                                                .ifPresent(mBudget::release)));
    }
}
