package org.crocusturn.daemon.controlhosts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.HostId;
import org.crocusturn.core.Verdict;
import org.crocusturn.core.operators.ChangeOutcome;
import org.crocusturn.daemon.net.NetThreads;
import org.crocusturn.daemon.platform.Metrics;
import org.crocusturn.daemon.settings.MemberSettings;
import org.crocusturn.daemon.settings.PeerAddress;
import org.crocusturn.daemon.settings.Secret;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a control host whose heap is filled by changes that wait for a leader, because
 * only their number was limited.
 */
class OpenChangesTest {
    /** A sixth of the heap of a control host, so that the changes alone cannot fill it. */
    private static final long MAX_BUFFER_BYTES = 16L << 20;

    @TempDir private Path mFolder;

    private static boolean isRefusedAtOnce(CompletableFuture<ChangeOutcome> change) {
        return change.isDone()
                && change.join()
                        .refusal()
                        .filter(f -> f.code() == ErrorCode.OVERLOADED)
                        .filter(f -> f.verdict() == Verdict.NOT_RUN)
                        .isPresent();
    }

    @ParameterizedTest
    @CsvSource({"1000, 100, 0", "262144, 200, 168", "1048576, 20, 12"})
    void boundsTheChangesWithoutAnOutcome(int length, int count, int refused) throws IOException {
        HostId host = HostId.of("127.0.0.1");
        InetSocketAddress link = freeAddress();
        try (NetThreads threads = NetThreads.start("test", 1);
                ControlMember member =
                        ControlMember.start(
                                new MemberSettings(
                                        host,
                                        mFolder,
                                        link,
                                        List.of(
                                                new PeerAddress(host, link),
                                                new PeerAddress(
                                                        HostId.of("127.0.0.2"),
                                                        new InetSocketAddress(
                                                                "127.0.0.2", link.getPort()))),
                                        true,
                                        true,
                                        0,
                                        Secret.of("a secret of the test")),
                                threads,
                                Metrics.create(),
                                failure -> {})) {
            List<CompletableFuture<ChangeOutcome>> changes =
                    IntStream.range(0, count)
                            .mapToObj(n -> member.propose(LargeChange.of(n, length)))
                            .toList();
            long refusals = changes.stream().filter(OpenChangesTest::isRefusedAtOnce).count();
            long bytes = (count - refusals) * LargeChange.of(0, length).approximateBytes();
            assertTrue(bytes <= MAX_BUFFER_BYTES + (2L << 20), bytes + " bytes wait");
            assertEquals(refused, refusals, 2, "refused changes");
            changes.forEach(c -> c.orTimeout(30, TimeUnit.SECONDS).join());
            CompletableFuture<ChangeOutcome> later = member.propose(LargeChange.of(count, length));
            assertTrue(!isRefusedAtOnce(later), "room is free again");
        }
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
        }
    }
}
