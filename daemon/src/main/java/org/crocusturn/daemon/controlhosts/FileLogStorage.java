package org.crocusturn.daemon.controlhosts;

import java.io.IOException;
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
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.controlhosts.ConsensusAction;
import org.crocusturn.core.controlhosts.HardState;
import org.crocusturn.core.controlhosts.LogEntry;
import org.crocusturn.core.controlhosts.Snapshot;

/**
 * Keeps the log in one data folder with the files {@code snapshot}, {@code log} and {@code hard}.
 *
 * <p>Each sync appends one record to the log file, so a record that follows another proves that the
 * earlier one was synced: only the last one can be torn. A snapshot starts a new log file. Not safe
 * for use by several threads at a time.
 */
public final class FileLogStorage implements LogStorage {
    private static final Logger LOG = LogManager.getLogger(FileLogStorage.class);

    private final Path mSnapshot;
    private final Path mLog;
    private final Path mHard;
    private final LogCodec mCodec;
    private final FileChannel mLockFile;
    private Optional<FileChannel> mAppend = Optional.empty();
    private Optional<HardState> mWrittenHard = Optional.empty();

    private FileLogStorage(Path folder, LogCodec codec, FileChannel lockFile) {
        mSnapshot = folder.resolve("snapshot");
        mLog = folder.resolve("log");
        mHard = folder.resolve("hard");
        mCodec = codec;
        mLockFile = lockFile;
    }

    /**
     * Opens a data folder and creates it if needed.
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
            throw failure("folder " + folder + " cannot be opened", e);
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
            LOG.debug("controlhosts: {} is locked by this process", file);
        }
        channel.close();
        throw new IOException("file " + file + " is locked by another member");
    }

    @Override
    public Optional<StoredLog> load() {
        try {
            if (!Files.exists(mHard)) {
                return unfinished();
            }
            Snapshot base = mCodec.decodeSnapshot(single(mSnapshot));
            HardState hard = LogRecords.decodeHard(single(mHard));
            List<LogEntry> entries = new ArrayList<>();
            for (byte[] payload : readLog()) {
                for (LogRecords.Change change : LogRecords.decodeChanges(payload, mCodec)) {
                    replay(entries, change);
                }
            }
            mWrittenHard = Optional.of(hard);
            return Optional.of(new StoredLog(hard, base, after(base, entries)));
        } catch (IOException e) {
            throw failure("the log in " + mLog.getParent() + " cannot be read", e);
        }
    }

    @Override
    public void persist(List<ConsensusAction.Persist> persists) {
        try {
            List<LogRecords.Change> changes = new ArrayList<>();
            for (ConsensusAction.Persist persist : persists) {
                if (persist.snapshot().isPresent()) {
                    append(changes);
                    changes.clear();
                    startLog(persist.snapshot().get(), persist);
                } else if (!persist.entries().isEmpty()) {
                    changes.add(new LogRecords.Change(persist.fromIndex(), persist.entries()));
                }
            }
            append(changes);
            writeHard(persists.get(persists.size() - 1).hardState());
        } catch (IOException e) {
            throw failure("the log in " + mLog.getParent() + " cannot be written", e);
        }
    }

    @Override
    public void close() {
        try {
            closeAppend();
            mLockFile.close();
        } catch (IOException e) {
            throw failure("the log in " + mLog.getParent() + " cannot be closed", e);
        }
    }

    /** Accepts only what a first persist leaves that a crash interrupted; nothing was promised. */
    private Optional<StoredLog> unfinished() throws IOException {
        boolean untouched =
                !Files.exists(mSnapshot)
                        || mCodec.decodeSnapshot(single(mSnapshot)).position().index() == 0;
        boolean empty =
                !Files.exists(mLog) || RecordFile.read(mLog).payloads().size() <= 1 && untouched;
        if (!untouched || !empty) {
            throw new IOException("file " + mHard + " is missing");
        }
        return Optional.empty();
    }

    private List<byte[]> readLog() throws IOException {
        RecordFile.Content content = RecordFile.read(mLog);
        if (content.torn()) {
            LOG.warn(
                    "controlhosts: {} is cut from {} to {} bytes because its last write is torn",
                    mLog,
                    content.totalBytes(),
                    content.validBytes());
        }
        // A killed process may have written entries without syncing them; from now on they count.
        try (FileChannel channel = FileChannel.open(mLog, StandardOpenOption.WRITE)) {
            channel.truncate(content.validBytes());
            channel.force(true);
        }
        return content.payloads();
    }

    private static byte[] single(Path file) throws IOException {
        RecordFile.Content content = RecordFile.read(file);
        if (content.torn() || content.payloads().size() != 1) {
            throw new IOException("file " + file + " is damaged");
        }
        return content.payloads().get(0);
    }

    private static void replay(List<LogEntry> entries, LogRecords.Change change)
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

    /** Returns the entries that follow a snapshot; the log file may still be the one before it. */
    private static List<LogEntry> after(Snapshot base, List<LogEntry> entries) throws IOException {
        long index = base.position().index();
        List<LogEntry> later = entries.stream().filter(e -> e.position().index() > index).toList();
        boolean follows =
                entries.stream().anyMatch(e -> e.position().equals(base.position()))
                        || entries.size() == later.size();
        if (!follows || later.isEmpty()) {
            return List.of();
        }
        if (later.get(0).position().index() != index + 1) {
            throw new IOException("entry " + (index + 1) + " is missing");
        }
        return later;
    }

    private void startLog(Snapshot snapshot, ConsensusAction.Persist persist) throws IOException {
        closeAppend();
        RecordFile.replace(mSnapshot, mCodec.encodeSnapshot(snapshot));
        RecordFile.replace(
                mLog,
                LogRecords.encodeChanges(
                        List.of(new LogRecords.Change(persist.fromIndex(), persist.entries())),
                        mCodec));
    }

    private void append(List<LogRecords.Change> changes) throws IOException {
        if (!changes.isEmpty()) {
            if (mAppend.isEmpty()) {
                mAppend =
                        Optional.of(
                                FileChannel.open(
                                        mLog, StandardOpenOption.WRITE, StandardOpenOption.APPEND));
            }
            FileChannel channel = mAppend.get();
            RecordFile.write(channel, RecordFile.encode(LogRecords.encodeChanges(changes, mCodec)));
            channel.force(true);
        }
    }

    private void writeHard(HardState hard) throws IOException {
        if (!mWrittenHard.equals(Optional.of(hard))) {
            RecordFile.replace(mHard, LogRecords.encodeHard(hard));
            mWrittenHard = Optional.of(hard);
        }
    }

    private void closeAppend() throws IOException {
        if (mAppend.isPresent()) {
            mAppend.get().close();
            mAppend = Optional.empty();
        }
    }

    private static CrocusturnException failure(String message, IOException cause) {
        return CrocusturnException.causedBy(
                Failure.notRun(ErrorCode.INTERNAL, message + ": " + cause.getMessage()), cause);
    }
}
