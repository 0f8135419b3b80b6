package org.crocusturn.core.controlhosts;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Stream;
import org.crocusturn.core.LogPosition;

/**
 * The log of one member: a snapshot and the entries after it.
 *
 * <p>Immutable. An append copies the entries, whose number and size are bounded by the snapshot
 * interval.
 *
 * @param base snapshot before the first entry
 * @param entries entries after the snapshot, without gaps
 * @param membership latest membership in the log, committed or not
 * @param membershipIndex index of the entry that set the membership
 * @param unsavedFrom first index that changed since the last persist; {@link #NO_CHANGES} if none
 * @param baseUnsaved whether the snapshot changed since the last persist
 */
public record ConsensusLog(
        Snapshot base,
        List<LogEntry> entries,
        Membership membership,
        long membershipIndex,
        long unsavedFrom,
        boolean baseUnsaved) {
    /** Value of {@code unsavedFrom} if no entry changed. */
    public static final long NO_CHANGES = Long.MAX_VALUE;

    /** Checks that no part is null. */
    public ConsensusLog {
        Objects.requireNonNull(base, "base");
        Objects.requireNonNull(membership, "membership");
        entries = List.copyOf(entries);
    }

    /** Creates a log whose content is already on disk. */
    public static ConsensusLog saved(Snapshot base, List<LogEntry> entries) {
        return build(base, entries, NO_CHANGES, false);
    }

    /** Creates a log that is not on disk yet. */
    public static ConsensusLog unsaved(Snapshot base) {
        return build(base, List.of(), NO_CHANGES, true);
    }

    private static ConsensusLog build(
            Snapshot base, List<LogEntry> entries, long unsavedFrom, boolean baseUnsaved) {
        Optional<LogEntry> change = lastMembership(entries);
        return new ConsensusLog(
                base,
                entries,
                change.map(ConsensusLog::membershipOf).orElse(base.membership()),
                change.map(e -> e.position().index()).orElse(base.position().index()),
                unsavedFrom,
                baseUnsaved);
    }

    private static Optional<LogEntry> lastMembership(List<LogEntry> entries) {
        return entries.stream()
                .filter(e -> e.content() instanceof LogContent.MembershipContent)
                .reduce((first, second) -> second);
    }

    private static Membership membershipOf(LogEntry entry) {
        return ((LogContent.MembershipContent) entry.content()).membership();
    }

    /** Returns the index of the snapshot. */
    public long baseIndex() {
        return base.position().index();
    }

    /** Returns the position of the last entry, or of the snapshot if there is none. */
    public LogPosition lastPosition() {
        return entries.isEmpty() ? base.position() : entries.get(entries.size() - 1).position();
    }

    /** Returns the index of the last entry. */
    public long lastIndex() {
        return baseIndex() + entries.size();
    }

    /** Returns whether the log has no membership yet, as on a member that joins or recovers. */
    public boolean isUninitialized() {
        return base.membership().members().isEmpty();
    }

    /** Returns the entry at an index, which must lie after the snapshot. */
    public LogEntry entry(long index) {
        return entries.get(Math.toIntExact(index - baseIndex() - 1));
    }

    /** Returns the term at an index, or -1 if the index lies outside the log. */
    public long termAt(long index) {
        if (index == baseIndex()) {
            return base.position().term();
        }
        return index < baseIndex() || index > lastIndex() ? -1 : entry(index).position().term();
    }

    /** Returns the first index of the consecutive entries that share the term at an index. */
    public long firstIndexOfTerm(long index) {
        long first = index;
        while (first - 1 > baseIndex() && termAt(first - 1) == termAt(index)) {
            first--;
        }
        return first;
    }

    /** Returns the entries from an index on, up to a limit. */
    public List<LogEntry> entriesFrom(long index, int limit) {
        int start = Math.toIntExact(index - baseIndex() - 1);
        int end = (int) Math.min(entries.size(), (long) start + limit);
        return start >= end ? List.of() : entries.subList(start, end);
    }

    /**
     * Returns the entries from an index on, up to a number and a size in memory. The first entry is
     * returned whatever its size.
     */
    public List<LogEntry> entriesFrom(long index, int limit, long maxBytes) {
        List<LogEntry> next = entriesFrom(index, limit);
        long bytes = 0;
        int count = 0;
        while (count < next.size() && (count == 0 || bytes < maxBytes)) {
            bytes += next.get(count).content().approximateBytes();
            count++;
        }
        return count > 1 && bytes > maxBytes ? next.subList(0, count - 1) : next.subList(0, count);
    }

    /**
     * Returns the approximate size in memory of the entries after an index, up to another one, once
     * all of them are loaded.
     */
    public long approximateBytes(long afterIndex, long lastIndex) {
        return entriesFrom(afterIndex + 1, Math.toIntExact(lastIndex - afterIndex)).stream()
                .mapToLong(e -> e.content().approximateBytes())
                .sum();
    }

    /** Returns the approximate size that the entries after an index keep in memory, in bytes. */
    public long retainedBytes(long afterIndex, long lastIndex) {
        return entriesFrom(afterIndex + 1, Math.toIntExact(lastIndex - afterIndex)).stream()
                .mapToLong(e -> e.content().retainedBytes())
                .sum();
    }

    /** Returns the membership after the entry at an index. */
    public Membership membershipAt(long index) {
        return lastMembership(entriesFrom(baseIndex() + 1, Math.toIntExact(index - baseIndex())))
                .map(ConsensusLog::membershipOf)
                .orElse(base.membership());
    }

    /** Returns the log with an entry appended. */
    public ConsensusLog withAppended(long term, LogContent content) {
        long index = lastIndex() + 1;
        LogEntry entry = new LogEntry(LogPosition.of(term, index), content);
        return withSuffix(index, List.of(entry));
    }

    /** Returns the log with all entries from an index on replaced by a suffix. */
    public ConsensusLog withSuffix(long index, List<LogEntry> suffix) {
        List<LogEntry> retained =
                entriesFrom(baseIndex() + 1, Math.toIntExact(index - baseIndex() - 1));
        return build(
                base,
                Stream.concat(retained.stream(), suffix.stream()).toList(),
                Math.min(unsavedFrom, index),
                baseUnsaved);
    }

    /** Returns the log based on a snapshot; later entries stay only if they follow the snapshot. */
    public ConsensusLog withSnapshot(Snapshot snapshot) {
        LogPosition position = snapshot.position();
        boolean follows = termAt(position.index()) == position.term() && !isUninitialized();
        return follows
                ? build(
                        snapshot,
                        entriesFrom(position.index() + 1, entries.size()),
                        unsavedFrom,
                        true)
                : build(snapshot, List.of(), position.index() + 1, true);
    }

    /** Returns the log with all changes marked as saved. */
    public ConsensusLog withChangesSaved() {
        return new ConsensusLog(base, entries, membership, membershipIndex, NO_CHANGES, false);
    }
}
