package org.crocusturn.core.endpoints;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.callers.Access;
import org.crocusturn.core.callers.Role;
import org.crocusturn.core.callers.SqlValue;
import org.crocusturn.core.callers.Statement;

/** A simulated copy of a group. The text of a write statement is the name of the write. */
final class SimulatedCopy {
    static final String DATABASE = "db";

    final EndpointId mEndpoint;
    final List<Entry> mLog = new ArrayList<>();
    final Set<String> mContent = new HashSet<>();
    final Map<Long, List<String>> mTransactionWrites = new HashMap<>();
    final Map<Long, Long> mSessionEpochs = new HashMap<>();
    final Map<String, Integer> mRunCounts;
    Role mRole = Role.REPLICA;
    long mTerm;
    long mFrozenUntil;
    long mLagNanos = 20_000_000;

    record Entry(long term, List<String> writes, Optional<String> requestId, long committedNanos) {}

    SimulatedCopy(String name, Map<String, Integer> runCounts) {
        mEndpoint = EndpointId.of(name);
        mRunCounts = runCounts;
    }

    LogPosition position() {
        return mLog.isEmpty()
                ? LogPosition.ZERO
                : LogPosition.of(mLog.get(mLog.size() - 1).term(), mLog.size());
    }

    CopyStatus status() {
        long lag = mRole == Role.PRIMARY ? 0 : mLagNanos / 1_000_000;
        return new CopyStatus(DATABASE, mRole, mTerm, position(), lag);
    }

    void open(long connection, long epoch) {
        mSessionEpochs
                .entrySet()
                .removeIf(e -> e.getValue() < epoch && discardTransaction(e.getKey()));
        mSessionEpochs.put(connection, epoch);
    }

    private boolean discardTransaction(long connection) {
        mTransactionWrites.remove(connection);
        return true;
    }

    void close(long connection) {
        mSessionEpochs.remove(connection);
        mTransactionWrites.remove(connection);
    }

    /**
     * Runs a command; a read returns the names of the expected writes that are not visible to it.
     */
    DatabaseResult run(
            long connection, DatabaseCommand command, Set<String> expected, long nowNanos) {
        if (!mSessionEpochs.containsKey(connection)) {
            return new DatabaseResult.Lost(Failure.mayHaveRun("the session is closed"));
        }
        if (command instanceof DatabaseCommand.Rollback) {
            mTransactionWrites.remove(connection);
            return done(List.of(), position(), false);
        }
        if (command instanceof DatabaseCommand.Run run && run.statement().access() == Access.READ) {
            List<List<SqlValue>> missing =
                    expected.stream()
                            .filter(w -> !mContent.contains(w))
                            .map(w -> List.<SqlValue>of(new SqlValue.TextValue(w)))
                            .toList();
            return done(missing, position(), false);
        }
        if (mRole != Role.PRIMARY || term(command) != mTerm) {
            return new DatabaseResult.Refused(
                    Failure.notRun(ErrorCode.UNAVAILABLE, "the database has another term"));
        }
        return write(connection, command, nowNanos);
    }

    private DatabaseResult write(long connection, DatabaseCommand command, long nowNanos) {
        if (command instanceof DatabaseCommand.Begin) {
            mTransactionWrites.put(connection, new ArrayList<>());
        } else if (command instanceof DatabaseCommand.Commit) {
            List<String> writes = mTransactionWrites.remove(connection);
            if (writes == null) {
                return new DatabaseResult.Refused(
                        Failure.notRun(ErrorCode.TRANSACTION_LOST, "no transaction is open"));
            }
            append(writes, Optional.empty(), nowNanos);
        } else if (command instanceof DatabaseCommand.RunOnce once) {
            Statement statement = once.statement();
            for (int i = 0; i < mLog.size(); i++) {
                if (mLog.get(i).requestId().equals(statement.requestId())) {
                    return done(List.of(), LogPosition.of(mLog.get(i).term(), i + 1), true);
                }
            }
            append(List.of(statement.sql()), statement.requestId(), nowNanos);
        } else if (command instanceof DatabaseCommand.Run run) {
            List<String> buffer = mTransactionWrites.get(connection);
            if (buffer == null) {
                append(List.of(run.statement().sql()), Optional.empty(), nowNanos);
            } else {
                buffer.add(run.statement().sql());
            }
        }
        return done(List.of(), position(), false);
    }

    private void append(List<String> writes, Optional<String> requestId, long nowNanos) {
        mLog.add(new Entry(mTerm, writes, requestId, nowNanos));
        mContent.addAll(writes);
        writes.forEach(w -> mRunCounts.merge(w, 1, Integer::sum));
    }

    private static DatabaseResult done(
            List<List<SqlValue>> rows, LogPosition position, boolean repeated) {
        return new DatabaseResult.Done(List.of("missing"), rows, 0, position, repeated);
    }

    private static long term(DatabaseCommand command) {
        if (command instanceof DatabaseCommand.Run run) {
            return run.term();
        }
        if (command instanceof DatabaseCommand.RunOnce once) {
            return once.term();
        }
        if (command instanceof DatabaseCommand.Commit commit) {
            return commit.term();
        }
        return command instanceof DatabaseCommand.Begin begin ? begin.term() : 0;
    }

    void fence(long term) {
        mTerm = Math.max(mTerm, term);
        mRole = Role.REPLICA;
        mTransactionWrites.clear();
    }

    void follow(SimulatedCopy primary) {
        fence(primary.mTerm);
        int common = 0;
        while (common < Math.min(mLog.size(), primary.mLog.size())
                && mLog.get(common).equals(primary.mLog.get(common))) {
            common++;
        }
        mLog.subList(common, mLog.size()).clear();
        mContent.clear();
        mLog.forEach(e -> mContent.addAll(e.writes()));
    }

    void replicateFrom(SimulatedCopy primary, long nowNanos) {
        if (mRole == Role.REPLICA && mTerm == primary.mTerm && primary.mRole == Role.PRIMARY) {
            while (mLog.size() < primary.mLog.size()
                    && nowNanos - primary.mLog.get(mLog.size()).committedNanos() >= mLagNanos) {
                Entry next = primary.mLog.get(mLog.size());
                mLog.add(next);
                mContent.addAll(next.writes());
            }
        }
    }
}
