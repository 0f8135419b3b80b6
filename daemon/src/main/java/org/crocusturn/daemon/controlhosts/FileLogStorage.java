package org.crocusturn.daemon.controlhosts;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.IntStream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.controlhosts.ConsensusAction;
import org.crocusturn.core.controlhosts.HardState;
import org.crocusturn.core.controlhosts.LogContent.StoredContent;
import org.crocusturn.core.controlhosts.LogEntry;
import org.crocusturn.core.controlhosts.Membership;
import org.crocusturn.core.controlhosts.Snapshot;
import org.crocusturn.core.operators.ControlState;

/**
 * Stores the log in a data folder with the files {@code snapshot}, {@code log} and {@code hard}.
 *
 * <p>Each sync appends one record to the log file. A record that follows another one proves that
 * the earlier one was synced, so only the last record can be torn. A snapshot starts a new log
 * file.
 *
 * <p>The content of the log file after its synced length is unknown after a failed write or sync.
 * Before the next record is written, the file is truncated to that length and synced. Not
 * thread-safe.
 */
public final class FileLogStorage implements LogStorage {
    private static final Logger LOG = LogManager.getLogger(FileLogStorage.class);

    /**
     * Size in memory of the entries of a record of several, in bytes. A record is encoded in memory
     * as a whole.
     */
    private static final long MAX_RECORD_BYTES = 2L << 20;

    /** Stores the state of a member that has lost its disk and received nothing yet. */
    private static final ConsensusAction.Persist INITIAL_PERSIST =
            new ConsensusAction.Persist(
                    0,
                    HardState.initial(true),
                    Optional.of(
                            new Snapshot(
                                    LogPosition.ZERO,
                                    new Membership(List.of()),
                                    ControlState.EMPTY)),
                    1,
                    List.of());

    private final Path mSnapshotFile;
    private final Path mLogFile;
    private final Path mHardStateFile;
    private final LogCodec mCodec;
    private final FileChannel mLockChannel;
    private Optional<FileChannel> mLogChannel = Optional.empty();
    private Optional<HardState> mWrittenHardState = Optional.empty();

    /** Whether the folder holds a complete state, which later persists replace. */
    private boolean mHasStoredState;

    /** Size of the synced records in the log file in bytes. */
    private long mSyncedLogBytes;

    private FileLogStorage(Path folder, LogCodec codec, FileChannel lockChannel) {
        mSnapshotFile = folder.resolve("snapshot");
        mLogFile = folder.resolve("log");
        mHardStateFile = folder.resolve("hard");
        mHasStoredState = Files.exists(mHardStateFile);
        mCodec = codec;
        mLockChannel = lockChannel;
    }

    /**
     * Opens a data folder, which is created if missing.
     *
     * @throws CrocusturnException if the folder cannot be used or another process uses it
     */
    public static FileLogStorage open(Path folder, LogCodec codec) {
        Objects.requireNonNull(folder, "folder");
        Objects.requireNonNull(codec, "codec");
        try {
            Path absolute = folder.toAbsolutePath();
            Files.createDirectories(absolute);
            RecordFile.syncFolder(absolute.getParent());
            return new FileLogStorage(absolute, codec, lock(absolute.resolve("lock")));
        } catch (IOException e) {
            throw failure("data folder " + folder + " cannot be opened", e);
        }
    }

    private static FileChannel lock(Path file) throws IOException {
        FileChannel channel =
                FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            FileLock lock = channel.tryLock();
            if (lock != null) {
                return channel;
            }
        } catch (OverlappingFileLockException e) {
            LOG.debug("controlhosts: file {} is already locked by this process", file);
        }
        channel.close();
        throw new IOException("file " + file + " is locked by another process or member");
    }

    /**
     * Returns whether the folder holds the state of a member.
     *
     * @throws CrocusturnException if the files of an interrupted first persist are not readable
     */
    public boolean hasStoredState() {
        try {
            return Files.exists(mHardStateFile) || checkInterruptedFirstPersist().isPresent();
        } catch (IOException e) {
            throw failure("the log in " + mLogFile.getParent() + " cannot be read", e);
        }
    }

    @Override
    public Optional<StoredLog> load() {
        try {
            if (!Files.exists(mHardStateFile)) {
                return checkInterruptedFirstPersist();
            }
            Snapshot snapshot = mCodec.decodeSnapshot(RecordFile.readSingle(mSnapshotFile));
            HardState hardState = LogRecords.decodeHardState(RecordFile.readSingle(mHardStateFile));
            List<LogEntry> entries = entriesAfter(snapshot, readLog());
            mWrittenHardState = Optional.of(hardState);
            return Optional.of(new StoredLog(hardState, snapshot, entries));
        } catch (IOException e) {
            throw failure("the log in " + mLogFile.getParent() + " cannot be read", e);
        }
    }

    @Override
    public void persist(List<ConsensusAction.Persist> persists) {
        try {
            List<ConsensusAction.Persist> remaining =
                    mHasStoredState ? persists : writeInitialState(persists);
            if (!remaining.isEmpty()) {
                write(withoutReplaced(remaining));
            }
        } catch (IOException e) {
            discardLogChannel();
            throw new UncheckedIOException(
                    "the log in " + mLogFile.getParent() + " cannot be written: " + e.getMessage(),
                    e);
        }
    }

    /**
     * Writes a first complete state, either that of the first persist or, if that one already has a
     * snapshot from a leader, an empty one.
     *
     * <p>A first persist can be interrupted before its hard state is written. With a snapshot of a
     * leader and no hard state, the folder would count as damaged at each later start.
     *
     * @return the persists that are still to be written
     */
    private List<ConsensusAction.Persist> writeInitialState(List<ConsensusAction.Persist> persists)
            throws IOException {
        ConsensusAction.Persist first = persists.get(0);
        boolean initial = first.snapshot().filter(s -> s.position().index() == 0).isPresent();
        write(List.of(initial ? first : INITIAL_PERSIST));
        mHasStoredState = true;
        return initial ? persists.subList(1, persists.size()) : persists;
    }

    /** Writes persists of which only the first may have a snapshot. */
    private void write(List<ConsensusAction.Persist> persists) throws IOException {
        if (persists.get(0).snapshot().isPresent()) {
            startNewLog(persists.get(0).snapshot().get(), persists.get(0));
        }
        append(
                persists.stream()
                        .filter(persist -> persist.snapshot().isEmpty())
                        .filter(persist -> !persist.entries().isEmpty())
                        .map(p -> new LogRecords.Change(p.fromIndex(), p.entries()))
                        .toList());
        writeHardState(persists.get(persists.size() - 1).hardState());
    }

    /**
     * Returns the persists from the last snapshot on. The log of a snapshot replaces that of all
     * earlier persists. A repeated persist must not write the earlier ones after it, because they
     * would remove its entries.
     */
    private static List<ConsensusAction.Persist> withoutReplaced(
            List<ConsensusAction.Persist> persists) {
        int first =
                IntStream.range(0, persists.size())
                        .filter(n -> persists.get(n).snapshot().isPresent())
                        .max()
                        .orElse(0);
        return persists.subList(first, persists.size());
    }

    @Override
    public void close() {
        try {
            closeLogChannel();
            mLockChannel.close();
        } catch (IOException e) {
            throw failure("the log in " + mLogFile.getParent() + " cannot be closed", e);
        }
    }

    /**
     * Checks that a folder without hard state contains at most the files of a first persist that a
     * crash interrupted. Nothing was acknowledged in that case, so the folder counts as empty.
     */
    private Optional<StoredLog> checkInterruptedFirstPersist() throws IOException {
        boolean atInitialSnapshot =
                !Files.exists(mSnapshotFile)
                        || mCodec.decodeSnapshot(RecordFile.readSingle(mSnapshotFile))
                                        .position()
                                        .index()
                                == 0;
        boolean emptyLog =
                !Files.exists(mLogFile) || countRecords(mLogFile) <= 1 && atInitialSnapshot;
        if (!atInitialSnapshot || !emptyLog) {
            throw new IOException("file " + mHardStateFile + " is missing");
        }
        return Optional.empty();
    }

    private static int countRecords(Path file) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ)) {
            return RecordFile.scan(file, channel).payloads().size();
        }
    }

    /** Reads the log file, which stays open if entries refer to it. */
    private List<LogEntry> readLog() throws IOException {
        FileChannel channel = FileChannel.open(mLogFile, StandardOpenOption.READ);
        boolean needed = false;
        try {
            List<LogEntry> entries = new ArrayList<>();
            for (FileRegion payload : findRecords(channel)) {
                for (LogRecords.Change change : LogRecords.readChanges(payload, mCodec)) {
                    applyChange(entries, change);
                }
            }
            // The JDK closes the channel once no entry refers to it any more.
            needed = entries.stream().anyMatch(e -> e.content() instanceof StoredContent);
            return entries;
        } finally {
            if (!needed) {
                channel.close();
            }
        }
    }

    private List<FileRegion> findRecords(FileChannel readChannel) throws IOException {
        RecordFile.Content content = RecordFile.scan(mLogFile, readChannel);
        if (content.isTorn()) {
            LOG.warn(
                    "controlhosts: truncating {} from {} to {} bytes after an incomplete record",
                    mLogFile,
                    content.totalBytes(),
                    content.validBytes());
        }
        // A killed process may have left entries that were written but not synced. They are part of
        // the loaded log from now on, so they must be synced.
        try (FileChannel channel = FileChannel.open(mLogFile, StandardOpenOption.WRITE)) {
            channel.truncate(content.validBytes());
            channel.force(true);
        }
        mSyncedLogBytes = content.validBytes();
        return content.payloads();
    }

    private static void applyChange(List<LogEntry> entries, LogRecords.Change change)
            throws IOException {
        if (entries.isEmpty()) {
            entries.addAll(change.entries());
            return;
        }
        long first = entries.get(0).position().index();
        if (change.fromIndex() > first + entries.size()) {
            throw new IOException("entries before index " + change.fromIndex() + " are missing");
        }
        entries.subList(Math.toIntExact(Math.max(0, change.fromIndex() - first)), entries.size())
                .clear();
        entries.addAll(change.entries());
    }

    /**
     * Returns the entries that follow a snapshot. After a crash, the log file may still be the one
     * from before the snapshot.
     */
    private static List<LogEntry> entriesAfter(Snapshot snapshot, List<LogEntry> entries)
            throws IOException {
        long index = snapshot.position().index();
        List<LogEntry> later = entries.stream().filter(e -> e.position().index() > index).toList();
        boolean follows =
                entries.stream().anyMatch(e -> e.position().equals(snapshot.position()))
                        || entries.size() == later.size();
        if (!follows || later.isEmpty()) {
            return List.of();
        }
        if (later.get(0).position().index() != index + 1) {
            throw new IOException("entry " + (index + 1) + " is missing");
        }
        return later;
    }

    private void startNewLog(Snapshot snapshot, ConsensusAction.Persist persist)
            throws IOException {
        closeLogChannel();
        RecordFile.replace(mSnapshotFile, mCodec.encodeSnapshot(snapshot));
        List<LogRecords.Change> changes =
                List.of(new LogRecords.Change(persist.fromIndex(), persist.entries()));
        mSyncedLogBytes =
                RecordFile.replace(
                        mLogFile,
                        LogRecords.split(changes, MAX_RECORD_BYTES).stream()
                                .map(part -> LogRecords.encodeChanges(part, mCodec))
                                .iterator());
    }

    /** Appends records. Each is synced before the next one, so that only the last can be torn. */
    private void append(List<LogRecords.Change> changes) throws IOException {
        for (List<LogRecords.Change> part : LogRecords.split(changes, MAX_RECORD_BYTES)) {
            FileChannel channel = openLogChannel();
            byte[] payload = LogRecords.encodeChanges(part, mCodec);
            RecordFile.write(channel, payload);
            channel.force(true);
            mSyncedLogBytes += RecordFile.size(payload);
        }
    }

    private FileChannel openLogChannel() throws IOException {
        if (mLogChannel.isEmpty()) {
            FileChannel channel =
                    FileChannel.open(mLogFile, StandardOpenOption.WRITE, StandardOpenOption.APPEND);
            mLogChannel = Optional.of(channel);
            if (channel.size() != mSyncedLogBytes) {
                LOG.warn(
                        "controlhosts: truncating {} from {} to {} bytes after a failed write",
                        mLogFile,
                        channel.size(),
                        mSyncedLogBytes);
                channel.truncate(mSyncedLogBytes);
                channel.force(true);
            }
        }
        return mLogChannel.get();
    }

    private void writeHardState(HardState hardState) throws IOException {
        if (!mWrittenHardState.equals(Optional.of(hardState))) {
            // The file is unknown if the replacement fails, so that any state must be written then.
            mWrittenHardState = Optional.empty();
            RecordFile.replace(mHardStateFile, LogRecords.encodeHardState(hardState));
            mWrittenHardState = Optional.of(hardState);
        }
    }

    /** Closes the log file after a failure, so that the next append opens and truncates it. */
    private void discardLogChannel() {
        try {
            closeLogChannel();
        } catch (IOException e) {
            LOG.warn("controlhosts: file {} cannot be closed after a failure", mLogFile, e);
        }
    }

    private void closeLogChannel() throws IOException {
        Optional<FileChannel> open = mLogChannel;
        mLogChannel = Optional.empty();
        if (open.isPresent()) {
            open.get().close();
        }
    }

    private static CrocusturnException failure(String message, IOException cause) {
        return CrocusturnException.causedBy(
                Failure.notRun(ErrorCode.INTERNAL, message + ": " + cause.getMessage()), cause);
    }
}
