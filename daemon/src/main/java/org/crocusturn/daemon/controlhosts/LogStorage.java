package org.crocusturn.daemon.controlhosts;

import java.io.UncheckedIOException;
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
     * Writes and syncs persists in order.
     *
     * @throws UncheckedIOException if the data could not be written and synced. Parts of it may be
     *     stored. The next call must start with the same persists, and may add later ones.
     */
    void persist(List<ConsensusAction.Persist> persists);

    @Override
    void close();
}
