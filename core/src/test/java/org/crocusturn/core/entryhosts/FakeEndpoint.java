package org.crocusturn.core.entryhosts;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.callers.Role;
import org.crocusturn.core.endpoints.CopyStatus;
import org.crocusturn.core.endpoints.EndpointCommand;
import org.crocusturn.core.operators.EndpointRecord;

/** Simulated database instance that follows the database protocol. */
final class FakeEndpoint {
    /** An entry in the log of a copy. */
    record Entry(long term, long id) {}

    static final class Copy {
        Role mRole = Role.REPLICA;
        long mTerm;
        long mPrimaryNumber = -1;
        List<Entry> mLog = new ArrayList<>();

        LogPosition position() {
            long term = mLog.isEmpty() ? 0 : mLog.get(mLog.size() - 1).term();
            return LogPosition.of(term, mLog.size());
        }
    }

    EndpointRecord mRecord;
    boolean mAnnounces = true;
    final Map<String, Copy> mCopies = new TreeMap<>();
    long mDownUntil;
    long mFrozenUntil;

    FakeEndpoint(EndpointRecord record) {
        mRecord = record;
        record.databases().forEach(d -> mCopies.put(d.name(), new Copy()));
    }

    boolean isUp(long now) {
        return now >= mDownUntil && now >= mFrozenUntil;
    }

    void crash(long until) {
        mDownUntil = until;
        for (Copy copy : mCopies.values()) {
            copy.mRole = Role.REPLICA;
            copy.mPrimaryNumber = -1;
        }
    }

    CopyStatus status(String database) {
        Copy copy = mCopies.get(database);
        long lag = copy.mRole == Role.PRIMARY || copy.mPrimaryNumber >= 0 ? 0 : Long.MAX_VALUE;
        return new CopyStatus(database, copy.mRole, copy.mTerm, copy.position(), lag);
    }

    List<CopyStatus> statuses() {
        return mCopies.keySet().stream().map(this::status).toList();
    }

    CopyStatus run(EndpointCommand command) {
        Copy copy = mCopies.get(command.database());
        if (command instanceof EndpointCommand.Fence fence && fence.term() > copy.mTerm) {
            copy.mTerm = fence.term();
            copy.mRole = Role.REPLICA;
            copy.mPrimaryNumber = -1;
        } else if (command instanceof EndpointCommand.Promote promote
                && promote.term() >= copy.mTerm) {
            copy.mTerm = promote.term();
            copy.mRole = Role.PRIMARY;
        } else if (command instanceof EndpointCommand.Follow follow
                && follow.term() >= copy.mTerm) {
            copy.mTerm = follow.term();
            copy.mRole = Role.REPLICA;
            copy.mPrimaryNumber = Integer.parseInt(follow.primaryStatusAddress().split(":")[1]);
        }
        return status(command.database());
    }

    boolean append(String database, Entry entry) {
        Copy copy = mCopies.get(database);
        boolean accepts = copy.mRole == Role.PRIMARY && copy.mTerm == entry.term();
        return accepts && copy.mLog.add(entry);
    }

    /** Copies up to {@code limit} missing entries from a primary to a replica that follows it. */
    static void replicate(Copy from, Copy to, int limit) {
        if (from.mRole != Role.PRIMARY || from.mTerm != to.mTerm) {
            return;
        }
        // Ids are unique, so equal entries at an index imply equal logs up to that index.
        int same = Math.min(from.mLog.size(), to.mLog.size());
        while (same > 0 && !from.mLog.get(same - 1).equals(to.mLog.get(same - 1))) {
            same--;
        }
        int end = Math.min(from.mLog.size(), same + limit);
        List<Entry> next = new ArrayList<>(to.mLog.subList(0, same));
        next.addAll(from.mLog.subList(same, end));
        to.mLog = next;
    }
}
