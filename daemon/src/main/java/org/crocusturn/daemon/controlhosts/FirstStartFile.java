package org.crocusturn.daemon.controlhosts;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.controlhosts.FirstStartIds;
import org.crocusturn.daemon.wire.FirstStartMapper;

/** Stores the start ids of control hosts in the file {@code first-start}. Not thread-safe. */
final class FirstStartFile {
    private final Path mFile;

    private FirstStartFile(Path folder) {
        mFile = folder.toAbsolutePath().resolve("first-start");
    }

    static FirstStartFile in(Path folder) {
        return new FirstStartFile(folder);
    }

    /**
     * Loads the start ids. If the file is missing, draws a random id for this host and stores it.
     */
    FirstStartIds load() {
        if (!Files.exists(mFile)) {
            FirstStartIds ids = FirstStartIds.of(new SecureRandom().nextLong());
            save(ids);
            return ids;
        }
        try {
            return FirstStartMapper.decodeIds(RecordFile.readSingle(mFile));
        } catch (IOException e) {
            throw failure("cannot be read", e);
        }
    }

    /** Replaces the stored start ids and syncs the file. */
    void save(FirstStartIds ids) {
        try {
            Files.createDirectories(mFile.getParent());
            RecordFile.replace(mFile, FirstStartMapper.encodeIds(ids));
        } catch (IOException e) {
            throw failure("cannot be written", e);
        }
    }

    private CrocusturnException failure(String problem, IOException cause) {
        return CrocusturnException.causedBy(
                Failure.notRun(
                        ErrorCode.INTERNAL,
                        "file " + mFile + " " + problem + ": " + cause.getMessage()),
                cause);
    }
}
