package org.crocusturn.daemon.controlhosts;

import java.util.List;
import java.util.Optional;
import org.crocusturn.core.controlhosts.ConsensusAction;

/** Stores the log of a member. Not thread-safe. */
public interface LogStorage extends AutoCloseable {
    /**
     * Loads the stored log, or returns empty if the member has not stored anything yet.
     *
     * @throws org.crocusturn.core.CrocusturnException if the stored data is damaged or not readable
     */
    Optional<StoredLog> load();

    /**
     * Writes and syncs persists in order. After a failure, the storage must not be used again.
     *
     * @throws org.crocusturn.core.CrocusturnException if the data could not be written and synced
     */
    void persist(List<ConsensusAction.Persist> persists);

    @Override
    void close();
}
