package org.crocusturn.core.platform;

import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.controlhosts.ClockEstimate;
import org.crocusturn.core.controlhosts.UsageTable;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.UsageLedger;

/**
 * What a control host knows for the reporting of usage. Immutable.
 *
 * @param startNanos time at which the process started
 * @param ledger ledger in the replicated state
 * @param table counts that processes have reported
 * @param term term that this host leads, if it leads
 * @param clock estimate of the true time; used only while this host leads
 * @param turn when this host may call the platform
 * @param calls calls of this process
 * @param ownFence fencing number that this process proposed last; 0 if it has proposed none
 * @param heldSinceNanos time at which the ledger got its present holder
 * @param proposal latest proposal, until the ledger shows its effect
 */
public record UsageState(
        long startNanos,
        UsageLedger ledger,
        UsageTable table,
        Optional<Long> term,
        ClockEstimate clock,
        DutyTurn turn,
        UsageCalls calls,
        long ownFence,
        long heldSinceNanos,
        Optional<Proposal> proposal) {
    /** Rejects null components. */
    public UsageState {
        Objects.requireNonNull(ledger, "ledger");
        Objects.requireNonNull(table, "table");
        Objects.requireNonNull(term, "term");
        Objects.requireNonNull(clock, "clock");
        Objects.requireNonNull(turn, "turn");
        Objects.requireNonNull(calls, "calls");
        Objects.requireNonNull(proposal, "proposal");
    }

    /** A command that was proposed. */
    public record Proposal(ControlCommand command, long proposedNanos) {}

    /** Creates the state of a process that starts now. */
    public static UsageState startedAt(DutyTurn turn, long nowNanos) {
        return new UsageState(
                nowNanos,
                UsageLedger.EMPTY,
                UsageTable.EMPTY,
                Optional.empty(),
                ClockEstimate.startedAt(nowNanos),
                turn,
                UsageCalls.none(nowNanos),
                0,
                nowNanos,
                Optional.empty());
    }
}
