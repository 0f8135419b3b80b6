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
                state.log().baseUnsaved() || state.log().unsavedFrom() != ConsensusLog.NOTHING;
        boolean hardChanged = !state.hard().equals(state.persists().issuedHard());
        return logChanged || hardChanged
                ? Consensus.chain(persist(state), Persistence::release)
                : release(state);
    }

    private static Decision<ConsensusState, ConsensusAction> persist(ConsensusState state) {
        ConsensusLog log = state.log();
        long changed = Math.min(log.unsavedFrom(), log.lastIndex() + 1);
        long from = log.baseUnsaved() ? log.baseIndex() + 1 : changed;
        PersistQueue persists =
                state.persists().withIssued(state.hard(), log.unsavedFrom() - 1, log.lastIndex());
        ConsensusAction action =
                new ConsensusAction.Persist(
                        persists.issued(),
                        state.hard(),
                        log.baseUnsaved() ? Optional.of(log.base()) : Optional.empty(),
                        from,
                        log.from(from, Integer.MAX_VALUE));
        return Decision.of(state.withPersists(persists).withLog(log.withSaved()), action);
    }

    private static Decision<ConsensusState, ConsensusAction> release(ConsensusState state) {
        PersistQueue planned = state.persists().withPlanned();
        List<PersistQueue.Held> ready =
                state.safeguards().persistFirst() ? planned.ready() : planned.held();
        List<ConsensusAction> sends = new ArrayList<>();
        ready.forEach(h -> sends.add(new ConsensusAction.Send(h.to(), h.message())));
        PersistQueue rest =
                state.safeguards().persistFirst()
                        ? planned.withoutReady()
                        : planned.withHeldList(List.of());
        return new Decision<>(state.withPersists(rest), sends);
    }
}
