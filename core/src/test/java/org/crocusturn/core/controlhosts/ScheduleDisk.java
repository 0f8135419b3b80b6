package org.crocusturn.core.controlhosts;

import java.util.List;
import java.util.stream.Stream;
import org.crocusturn.core.HostId;

/** The synced state of a member of a schedule. */
record ScheduleDisk(HardState hard, Snapshot base, List<LogEntry> entries) {
    /** Returns the disk of a first member of a group. */
    static ScheduleDisk ofNewGroup(Membership membership) {
        HostId any = membership.members().get(0).host();
        Snapshot base = ConsensusState.bootstrapping(any, membership, 1, 0).log().base();
        return new ScheduleDisk(HardState.initial(false), base, List.of());
    }

    /** Returns the content of the disk after a persist. */
    static ScheduleDisk after(ScheduleDisk before, ConsensusAction.Persist persist) {
        if (persist.snapshot().isPresent()) {
            return new ScheduleDisk(
                    persist.hardState(), persist.snapshot().get(), List.copyOf(persist.entries()));
        }
        List<LogEntry> kept =
                before.entries().stream()
                        .filter(e -> e.position().index() < persist.fromIndex())
                        .toList();
        return new ScheduleDisk(
                persist.hardState(),
                before.base(),
                Stream.concat(kept.stream(), persist.entries().stream()).toList());
    }

    ConsensusState restart(HostId host, long seed, long nowNanos) {
        return ConsensusState.restarted(host, hard, base, entries, seed, nowNanos);
    }
}
