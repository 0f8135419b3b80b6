package org.crocusturn.core.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.TransactionId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against use of a transaction by another workspace, concurrent operations and transactions
 * that stay open beyond their timeouts.
 */
class TransactionTableTest {
    private static final GroupId GROUP = GroupId.of("svc", "db");

    private static TransactionTable.OpenTransaction open(boolean busy, long began, long used) {
        TransactionId id = new TransactionId(GROUP, 1, "s");
        WorkspaceId owner = WorkspaceId.of("owner");
        return new TransactionTable.OpenTransaction(id, owner, 5, 1, began, used, busy, false);
    }

    @ParameterizedTest
    @CsvSource({
        "owner, s, false, ",
        "owner, s, true, CONFLICT",
        "other, s, false, FORBIDDEN",
        "other, s, true, FORBIDDEN",
        "owner, t, false, TRANSACTION_LOST"
    })
    void refuses(String workspace, String secret, boolean busy, ErrorCode code) {
        TransactionTable table = TransactionTable.EMPTY.with(open(busy, 0, 0));
        TransactionId id = new TransactionId(GROUP, 1, secret);
        assertEquals(
                code, table.refusal(id, WorkspaceId.of(workspace)).map(Failure::code).orElse(null));
    }

    @ParameterizedTest
    @CsvSource({
        "false, 0, 9999, 0",
        "false, 0, 10000, 1",
        "true, 0, 10000, 0",
        "true, 0, 30000, 1",
        "false, 25000, 30000, 1",
        "false, 25000, 29999, 0"
    })
    void endsWhatIsOpenForTooLong(boolean busy, long usedMillis, long nowMillis, int ended) {
        TransactionTable table = TransactionTable.EMPTY.with(open(busy, 0, usedMillis * 1_000_000));
        assertEquals(ended, table.expired(nowMillis * 1_000_000).size());
    }
}
