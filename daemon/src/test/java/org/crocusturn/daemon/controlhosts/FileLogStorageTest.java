package org.crocusturn.daemon.controlhosts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.FileVisitResult;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.SimpleFileVisitor;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.LongStream;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.controlhosts.ConsensusAction.Persist;
import org.crocusturn.core.controlhosts.HardState;
import org.crocusturn.core.controlhosts.LogContent;
import org.crocusturn.core.controlhosts.LogEntry;
import org.crocusturn.core.controlhosts.Member;
import org.crocusturn.core.controlhosts.Membership;
import org.crocusturn.core.controlhosts.Snapshot;
import org.crocusturn.core.operators.ControlCommand;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against loss of synced entries in a restart and against undetected damage. */
class FileLogStorageTest {
    private static final HostId HOST = HostId.of("c1");
    private static final Membership MEMBERS =
            new Membership(List.of(new Member(HOST, "127.0.0.1:1", true)));

    @TempDir Path mFolder;

    @Test
    void truncatesTornLastRecord() throws IOException {
        byte[] whole = writeThreeRecords();
        long kept = sizeOfTwoRecords();
        for (int size = (int) kept; size < whole.length; size++) {
            Files.write(logFile(), Arrays.copyOf(whole, size));
            assertEquals(entries(1, 4, 1), reload().entries(), "log cut to " + size + " bytes");
            assertEquals(kept, Files.size(logFile()), "the torn record is removed");
        }
        persist(new Persist(4, hardState(1), Optional.empty(), 4, entries(4, 7, 1)));
        assertEquals(
                entries(1, 7, 1),
                reload().entries(),
                "entries can be appended after the truncation");
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 0x80, 0xff})
    void rejectsDamageBeforeValidRecord(int flip) throws IOException {
        byte[] whole = writeThreeRecords();
        for (int offset = 0; offset < sizeOfTwoRecords(); offset++) {
            byte[] damaged = whole.clone();
            damaged[offset] ^= (byte) flip;
            Files.write(logFile(), damaged);
            CrocusturnException e = assertThrows(CrocusturnException.class, this::reload);
            assertTrue(e.getMessage().contains("damaged record"), e.getMessage());
        }
    }

    @ParameterizedTest
    @CsvSource({"snapshot, damaged", "hard, damaged"})
    void rejectsDamagedFile(String file, String message) throws IOException {
        writeThreeRecords();
        byte[] bytes = Files.readAllBytes(mFolder.resolve(file));
        bytes[bytes.length - 1] ^= 1;
        Files.write(mFolder.resolve(file), bytes);
        CrocusturnException e = assertThrows(CrocusturnException.class, this::reload);
        assertTrue(e.getMessage().contains(message), e.getMessage());
    }

    @ParameterizedTest
    @ValueSource(strings = {"snapshot", "log", "hard"})
    void rejectsMissingFile(String file) throws IOException {
        writeThreeRecords();
        persist(new Persist(4, hardState(1), Optional.of(snapshot(2)), 3, entries(3, 5, 1)));
        Files.delete(mFolder.resolve(file));
        assertThrows(CrocusturnException.class, this::reload);
    }

    /** Compares with an in-memory list over restarts, replaced suffixes and snapshots. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void recoversTheNewestStateAfterManyChanges(long seed) {
        Random random = new Random(seed);
        List<LogEntry> model = new ArrayList<>();
        Snapshot base = snapshot(0);
        FileLogStorage storage = FileLogStorage.open(mFolder, new FakeLogCodec());
        storage.persist(List.of(new Persist(1, hardState(0), Optional.of(base), 1, List.of())));
        for (long n = 1; n <= 500; n++) {
            long last = base.position().index() + model.size();
            long from = Math.max(base.position().index() + 1, last + 1 - random.nextInt(3));
            List<LogEntry> added = entries(from, from + 1 + random.nextInt(4), n);
            model.removeIf(e -> e.position().index() >= from);
            model.addAll(added);
            Optional<Snapshot> next = Optional.empty();
            if (random.nextInt(40) == 0) {
                base = new Snapshot(model.get(0).position(), MEMBERS, FakeLogCodec.state(n));
                next = Optional.of(base);
                model.remove(0);
            }
            List<LogEntry> written = next.isPresent() ? List.copyOf(model) : added;
            long start = next.map(s -> s.position().index() + 1).orElse(from);
            storage.persist(List.of(new Persist(n + 1, hardState(n / 10), next, start, written)));
            if (random.nextInt(20) == 0 || n == 500) {
                storage.close();
                storage = FileLogStorage.open(mFolder, new FakeLogCodec());
                StoredLog expected = new StoredLog(hardState(n / 10), base, model);
                assertEquals(Optional.of(expected), storage.load());
            }
        }
        storage.close();
    }

    /**
     * Guards against a persist that returns before its data is synced. After a power loss at any
     * time, all persisted data must be there, whichever unsynced writes and renames survive.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void keepsPersistedDataAfterPowerLoss(long seed) throws IOException {
        Random random = new Random(seed);
        PowerLossDisk disk = new PowerLossDisk(mFolder.resolve("disk"));
        List<LogEntry> model = new ArrayList<>();
        Snapshot base = snapshot(0);
        try (FileLogStorage storage = FileLogStorage.open(disk.folder(), new FakeLogCodec())) {
            storage.persist(List.of(new Persist(1, hardState(0), Optional.of(base), 1, List.of())));
            for (long n = 1; n <= 60; n++) {
                long last = base.position().index() + model.size();
                List<LogEntry> added = entries(last + 1, last + 2 + random.nextInt(3), n);
                model.addAll(added);
                boolean compacts = random.nextInt(10) == 0;
                if (compacts) {
                    base = new Snapshot(model.get(0).position(), MEMBERS, FakeLogCodec.state(n));
                    model.remove(0);
                }
                storage.persist(
                        List.of(
                                new Persist(
                                        n + 1,
                                        hardState(n / 7),
                                        compacts ? Optional.of(base) : Optional.empty(),
                                        compacts ? base.position().index() + 1 : last + 1,
                                        compacts ? List.copyOf(model) : added)));
                Path diskAfterPowerLoss = mFolder.resolve("left-" + n);
                disk.simulatePowerLoss(diskAfterPowerLoss, random);
                StoredLog expected = new StoredLog(hardState(n / 7), base, model);
                try (FileLogStorage reopened =
                        FileLogStorage.open(diskAfterPowerLoss, new FakeLogCodec())) {
                    assertEquals(Optional.of(expected), reopened.load(), "after change " + n);
                }
            }
        }
    }

    @Test
    void recoversFromACrashBetweenSnapshotAndLog() throws IOException {
        byte[] before = writeThreeRecords();
        persist(new Persist(4, hardState(1), Optional.of(snapshot(2)), 3, entries(3, 7, 1)));
        Files.write(logFile(), before);
        assertEquals(snapshot(2), reload().snapshot());
        assertEquals(entries(3, 7, 1), reload().entries());
    }

    @Test
    void loadsNothingFromDeletedFolder() throws IOException {
        writeThreeRecords();
        deleteAll(mFolder);
        try (FileLogStorage storage = FileLogStorage.open(mFolder, new FakeLogCodec())) {
            assertEquals(Optional.empty(), storage.load());
        }
    }

    @Test
    void rejectsFolderInUse() {
        try (FileLogStorage storage = FileLogStorage.open(mFolder, new FakeLogCodec())) {
            assertEquals(Optional.empty(), storage.load());
            assertThrows(CrocusturnException.class, this::reload);
        }
    }

    static void deleteAll(Path folder) throws IOException {
        Files.walkFileTree(
                folder,
                new SimpleFileVisitor<>() {
                    @Override
                    public FileVisitResult visitFile(Path file, BasicFileAttributes attributes)
                            throws IOException {
                        Files.delete(file);
                        return FileVisitResult.CONTINUE;
                    }
                });
        Files.delete(folder);
    }

    private byte[] writeThreeRecords() throws IOException {
        persist(new Persist(1, hardState(1), Optional.of(snapshot(0)), 1, List.of()));
        persist(new Persist(2, hardState(1), Optional.empty(), 1, entries(1, 4, 1)));
        Files.write(
                mFolder.resolveSibling("size-" + mFolder.getFileName()),
                List.of("" + Files.size(logFile())));
        persist(new Persist(3, hardState(1), Optional.empty(), 4, entries(4, 7, 1)));
        return Files.readAllBytes(logFile());
    }

    private long sizeOfTwoRecords() throws IOException {
        return Long.parseLong(
                Files.readAllLines(mFolder.resolveSibling("size-" + mFolder.getFileName())).get(0));
    }

    private Path logFile() {
        return mFolder.resolve("log");
    }

    private StoredLog reload() {
        try (FileLogStorage storage = FileLogStorage.open(mFolder, new FakeLogCodec())) {
            return storage.load().orElseThrow();
        }
    }

    private void persist(Persist persist) {
        try (FileLogStorage storage = FileLogStorage.open(mFolder, new FakeLogCodec())) {
            storage.load();
            storage.persist(List.of(persist));
        }
    }

    private static HardState hardState(long term) {
        return new HardState(term, Optional.of(HOST), false);
    }

    private static Snapshot snapshot(long index) {
        return new Snapshot(
                LogPosition.of(index == 0 ? 0 : 1, index), MEMBERS, FakeLogCodec.state(index));
    }

    private static List<LogEntry> entries(long from, long to, long term) {
        return LongStream.range(from, to)
                .mapToObj(
                        index ->
                                new LogEntry(
                                        LogPosition.of(term, index),
                                        new LogContent.CommandContent(
                                                index,
                                                new ControlCommand.RemoveEndpoint(
                                                        EndpointId.of("e" + index)))))
                .toList();
    }
}
