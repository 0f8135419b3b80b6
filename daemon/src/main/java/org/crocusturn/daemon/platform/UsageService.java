package org.crocusturn.daemon.platform;

import java.util.concurrent.CompletableFuture;
import org.crocusturn.core.platform.DutyTurn;
import org.crocusturn.core.platform.UsageAnswer;

/** Reports usage to the platform. */
public interface UsageService {
    /**
     * Reports a closed window.
     *
     * @param order the report, which is not sent once it is no longer permitted
     * @return the answer; the future never fails
     */
    CompletableFuture<UsageAnswer> report(UsageOrder order);

    /** Returns the turn of a process that has not called the platform yet. */
    DutyTurn firstTurn();
}
