package org.crocusturn.standin.bench;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.List;
import org.crocusturn.core.controlhosts.ControlUpdate;
import org.crocusturn.core.controlhosts.Snapshot;
import org.crocusturn.core.controlhosts.StateUpdate;
import org.crocusturn.daemon.wire.LogRecordCodec;
import org.crocusturn.daemon.wire.PeerMessageCodec;

/** Prints the sizes of encoded messages and snapshots, and the heap used by decoded states. */
final class EncodedSizes {
    private static final List<Integer> GROUP_COUNTS = List.of(16, 160, 1_600, 16_000);
    private static final List<Integer> LEASE_COUNTS = List.of(0, 1, 3, 12);

    private EncodedSizes() {}

    /** Prints a table of message sizes and a table of state sizes. */
    static void print(PrintStream out) {
        out.println("leases  report  update unchanged  update with a lease (bytes)");
        for (int n : LEASE_COUNTS) {
            out.printf(
                    "%6d %7d %17d %20d%n",
                    n,
                    PeerMessageCodec.encode(SyntheticStates.report(0, 1, n, 100)).length,
                    size(ControlMessages.update(n, new StateUpdate.Unchanged())),
                    size(ControlMessages.update(n, ControlMessages.leaseChange())));
        }
        out.println("groups  full state  configuration change  snapshot  heap (bytes)");
        for (int n : GROUP_COUNTS) {
            Snapshot snapshot = ControlMessages.snapshot(n);
            byte[] encoded = LogRecordCodec.encodeSnapshot(snapshot);
            out.printf(
                    "%6d %11d %21d %9d %13d%n",
                    n,
                    size(ControlMessages.update(3, new StateUpdate.Replacement(snapshot.state()))),
                    size(ControlMessages.update(3, ControlMessages.configurationChange(n))),
                    encoded.length,
                    retainedHeapBytes(encoded));
        }
    }

    private static int size(ControlUpdate update) {
        return PeerMessageCodec.encode(update).length;
    }

    /** Returns the heap that a decoded snapshot retains, in bytes. */
    private static long retainedHeapBytes(byte[] bytes) {
        long before = usedHeapBytes();
        Snapshot snapshot = LogRecordCodec.decodeSnapshot(bytes);
        long after = usedHeapBytes();
        java.lang.ref.Reference.reachabilityFence(snapshot);
        return after - before;
    }

    /** Returns the used heap in bytes after a garbage collection. */
    static long usedHeapBytes() {
        System.gc();
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
