package org.crocusturn.daemon.controlhosts;

import java.util.List;
import java.util.Optional;
import org.crocusturn.core.controlhosts.ConsensusAction;

/** Keeps the log of a member; used by one thread at a time. */
public interface LogStorage extends AutoCloseable {
    /**
     * Reads what is stored, or nothing if the member never stored anything.
     *
     * @throws org.crocusturn.core.CrocusturnException if the stored data is damaged or not readable
     */
    Optional<StoredLog> load();

    /**
     * Writes and syncs persists in order; after a failure the storage must not be used any more.
     *
     * @throws org.crocusturn.core.CrocusturnException if something could not be synced
     */
    void persist(List<ConsensusAction.Persist> persists);

    @Override
    void close();
}
