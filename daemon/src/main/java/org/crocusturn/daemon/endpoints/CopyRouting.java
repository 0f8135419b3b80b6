package org.crocusturn.daemon.endpoints;

import java.time.Duration;
import java.util.Optional;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.endpoints.PositionHistory;
import org.crocusturn.core.endpoints.ReadPlacement;
import org.crocusturn.core.entryhosts.SessionCall;

/** Selects the copy that runs a call; used only by the thread of its group. */
final class CopyRouting {
    private final HeldGroup mGroup;
    private final GroupPorts mPorts;

    CopyRouting(HeldGroup group, GroupPorts ports) {
        mGroup = group;
        mPorts = ports;
    }

    /** Returns the copy on which a call can start now, if any. */
    Optional<CopyPool> target(StatementRun run) {
        SessionCall call = run.call();
        if (call.needsPrimary()) {
            // One statement more than slots hides the round-trip time to the primary.
            return mGroup.keeper()
                    .writable()
                    .filter(pool -> pool.running() < pool.slots() + 1)
                    .filter(CopyPool::canConnect);
        }
        if (mGroup.history().isEmpty()) {
            return Optional.empty();
        }
        long now = mPorts.nowNanos();
        LogPosition needed = neededBy(call);
        return ReadPlacement.choose(
                        mGroup.pools().stream()
                                .filter(this::isServing)
                                .filter(pool -> !run.avoids(pool.record().id()))
                                .filter(CopyPool::canConnect)
                                .map(pool -> option(pool, call, needed, now))
                                .toList())
                .flatMap(mGroup::pool);
    }

    private ReadPlacement.Option option(
            CopyPool pool, SessionCall call, LogPosition needed, long now) {
        PositionHistory history = mGroup.history().orElseThrow();
        boolean primary = mGroup.keeper().isPrimary(pool);
        return new ReadPlacement.Option(
                pool.record().id(),
                primary,
                pool.running(),
                pool.slots(),
                pool.idle(call.workspace(), call.values()).isPresent(),
                primary || pool.progress().reaches(needed, history, now),
                pool.record().dataCentre().equals(mGroup.settings().dataCentre()));
    }

    /** Returns whether a copy accepts new statements. */
    boolean isServing(CopyPool pool) {
        return pool.health() == CopyPool.Health.UP
                && !pool.record().leaving()
                && !mGroup.settings().drained().contains(pool.record().dataCentre());
    }

    /** Returns the log position that a copy must have applied to serve the reads of a call. */
    LogPosition neededBy(SessionCall call) {
        PositionHistory history = mGroup.history().orElseThrow();
        long aged = mPorts.nowNanos() - Duration.ofMillis(call.terms().maxAgeMillis()).toNanos();
        return switch (call.terms().consistency()) {
            case PRIMARY -> history.latest();
            case OWN_WRITES -> history.asOf(aged).max(call.ownPosition());
            case STATED_AGE -> history.asOf(aged);
        };
    }
}
