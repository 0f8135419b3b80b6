package org.crocusturn.core.controlhosts;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.crocusturn.core.Decision;

/** Requests persists and sends the messages that waited for them. */
final class Persistence {
    private Persistence() {}

    /**
     * Completes a step: requests a persist if durable state changed, then sends the messages that
     * wait for no unconfirmed persist.
     */
    static Decision<ConsensusState, ConsensusAction> finish(ConsensusState state) {
        boolean logChanged =
                state.log().baseUnsaved() || state.log().unsavedFrom() != ConsensusLog.NO_CHANGES;
        boolean hardStateChanged =
                !state.hardState().equals(state.persistQueue().issuedHardState());
        return logChanged || hardStateChanged
                ? Consensus.chain(persist(state), Persistence::sendReady)
                : sendReady(state);
    }

    private static Decision<ConsensusState, ConsensusAction> persist(ConsensusState state) {
        ConsensusLog log = state.log();
        long changed = Math.min(log.unsavedFrom(), log.lastIndex() + 1);
        long from = log.baseUnsaved() ? log.baseIndex() + 1 : changed;
        PersistQueue persistQueue =
                state.persistQueue()
                        .withIssued(state.hardState(), log.unsavedFrom() - 1, log.lastIndex());
        ConsensusAction action =
                new ConsensusAction.Persist(
                        persistQueue.issuedSequence(),
                        state.hardState(),
                        log.baseUnsaved() ? Optional.of(log.base()) : Optional.empty(),
                        from,
                        log.entriesFrom(from, Integer.MAX_VALUE));
        return Decision.of(
                state.withPersistQueue(persistQueue).withLog(log.withChangesSaved()), action);
    }

    private static Decision<ConsensusState, ConsensusAction> sendReady(ConsensusState state) {
        PersistQueue assigned = state.persistQueue().withAssignedSequences();
        List<PersistQueue.DeferredMessage> ready =
                state.safeguards().persistFirst() ? assigned.sendable() : assigned.deferred();
        List<ConsensusAction> sends = new ArrayList<>();
        ready.forEach(
                message -> sends.add(new ConsensusAction.Send(message.to(), message.message())));
        PersistQueue remaining =
                state.safeguards().persistFirst()
                        ? assigned.withoutSendable()
                        : assigned.withDeferredMessages(List.of());
        return new Decision<>(state.withPersistQueue(remaining), sends);
    }
}
