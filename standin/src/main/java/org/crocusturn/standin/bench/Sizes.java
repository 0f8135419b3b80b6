package org.crocusturn.standin.bench;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.List;
import org.crocusturn.core.controlhosts.ControlUpdate;
import org.crocusturn.core.controlhosts.Snapshot;
import org.crocusturn.core.controlhosts.StateUpdate;
import org.crocusturn.daemon.wire.LogRecordCodec;
import org.crocusturn.daemon.wire.PeerMessageCodec;

/** Prints sizes of encoded messages and of the replicated state in memory. */
final class Sizes {
    private static final List<Integer> GROUPS = List.of(16, 160, 1_600, 16_000);
    private static final List<Integer> LEASES = List.of(0, 1, 3, 12);

    private Sizes() {}

    /** Prints a table of each kind. */
    static void print(PrintStream out) {
        out.println("leases  report  update unchanged  update with a lease (bytes)");
        for (int n : LEASES) {
            out.printf(
                    "%6d %7d %17d %20d%n",
                    n,
                    PeerMessageCodec.encode(Fleets.report(0, 1, n, 100)).length,
                    size(ControlMessages.update(n, new StateUpdate.Unchanged())),
                    size(ControlMessages.update(n, ControlMessages.leaseChange())));
        }
        out.println("groups  full state  configuration change  snapshot  heap (bytes)");
        for (int n : GROUPS) {
            Snapshot snapshot = ControlMessages.snapshot(n);
            byte[] bytes = LogRecordCodec.encodeSnapshot(snapshot);
            out.printf(
                    "%6d %11d %21d %9d %13d%n",
                    n,
                    size(ControlMessages.update(3, new StateUpdate.Replacement(snapshot.state()))),
                    size(ControlMessages.update(3, ControlMessages.configurationChange(n))),
                    bytes.length,
                    heap(bytes));
        }
    }

    private static int size(ControlUpdate update) {
        return PeerMessageCodec.encode(update).length;
    }

    /** Returns the heap that one decoded state retains. */
    private static long heap(byte[] bytes) {
        long before = used();
        Snapshot snapshot = LogRecordCodec.decodeSnapshot(bytes);
        long after = used();
        java.lang.ref.Reference.reachabilityFence(snapshot);
        return after - before;
    }

    /** Returns the used heap after a garbage collection, in bytes. */
    static long used() {
        System.gc();
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
