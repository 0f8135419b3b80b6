package org.crocusturn.daemon.controlhosts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.Member;
import org.crocusturn.core.controlhosts.Membership;
import org.crocusturn.daemon.net.NetThreads;
import org.crocusturn.daemon.platform.Metrics;
import org.crocusturn.daemon.settings.MemberSettings;
import org.crocusturn.daemon.settings.PeerAddress;
import org.crocusturn.daemon.settings.Secret;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a stopped voter that the group still counts although a learner was ready. */
class VoteHandoverTest {
    private static final long TIMEOUT_NANOS = Duration.ofSeconds(30).toNanos();
    private static final int FIRST_MEMBERS = 3;

    private final NetThreads mThreads = NetThreads.start("test", 1);
    private final List<ControlMember> mMembers = new ArrayList<>();

    @TempDir Path mFolder;

    @AfterEach
    void closeAll() {
        mMembers.forEach(ControlMember::close);
        mThreads.close();
    }

    @ParameterizedTest(name = "the leader stops: {0}")
    @ValueSource(booleans = {false, true})
    void replacesVoterThatStops(boolean leaderStops) throws IOException {
        List<PeerAddress> hosts = new ArrayList<>();
        for (int n = 0; n <= FIRST_MEMBERS; n++) {
            hosts.add(new PeerAddress(HostId.of("c" + n), freeAddress()));
        }
        hosts.forEach(host -> mMembers.add(start(host, hosts)));
        HostId learner = hosts.get(FIRST_MEMBERS).host();
        await(() -> membership().member(learner).isPresent());
        await(() -> mMembers.get(FIRST_MEMBERS).isRecovered());
        HostId leader = leader().orElseThrow().status().join().host();
        int stopping =
                IntStream.range(0, FIRST_MEMBERS)
                        .filter(n -> hosts.get(n).host().equals(leader) == leaderStops)
                        .findFirst()
                        .orElseThrow();
        mMembers.get(stopping).transferLeadership().join();
        mMembers.get(stopping).handOverVote().join();
        HostId stopped = hosts.get(stopping).host();
        await(() -> leader().isPresent() && membership().member(stopped).isEmpty());
        assertTrue(membership().member(learner).filter(Member::voter).isPresent());
        assertEquals(FIRST_MEMBERS, membership().voters().size());
    }

    private ControlMember start(PeerAddress host, List<PeerAddress> hosts) {
        return ControlMember.start(
                new MemberSettings(
                        host.host(),
                        mFolder.resolve(host.host().toString()),
                        host.address(),
                        hosts.subList(0, FIRST_MEMBERS),
                        true,
                        true,
                        1,
                        Secret.of("a secret of the test")),
                mThreads,
                Metrics.create(),
                failure -> {});
    }

    private Optional<ControlMember> leader() {
        return mMembers.stream().filter(ControlMember::isLeader).findFirst();
    }

    private Membership membership() {
        return Stream.concat(leader().stream(), Stream.of(mMembers.get(0)))
                .findFirst()
                .orElseThrow()
                .status()
                .join()
                .membership();
    }

    private static void await(BooleanSupplier condition) {
        long deadline = System.nanoTime() + TIMEOUT_NANOS;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() - deadline < 0, "timeout");
            LockSupport.parkNanos(Duration.ofMillis(50).toNanos());
        }
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
        }
    }
}
