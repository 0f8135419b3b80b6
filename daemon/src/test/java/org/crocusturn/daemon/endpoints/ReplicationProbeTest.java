package org.crocusturn.daemon.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.endpoints.ConnectionLoss;
import org.crocusturn.core.endpoints.ReplicationStatus;
import org.crocusturn.core.endpoints.SessionCommand;
import org.crocusturn.core.endpoints.SessionResult;
import org.crocusturn.core.operators.DatabaseRecord;
import org.crocusturn.core.operators.EndpointRecord;
import org.crocusturn.core.operators.Service;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against faults of the status connection when answers of endpoints are repeated. */
class ReplicationProbeTest {
    private final FakeGroupContext mContext = new FakeGroupContext();

    /** Guards against a history of answers that grows for as long as a host holds a lease. */
    @ParameterizedTest
    @ValueSource(ints = {1_100, 3_000})
    void replacesConnectionThatHasDeliveredManyAnswers(int commands) {
        ReplicationProbe probe = new ReplicationProbe(copy(), mContext, (pool, loss) -> {});
        long sentOnExhausted =
                IntStream.range(0, commands)
                        .filter(
                                i -> {
                                    probe.send(new SessionCommand.GetStatus(), result -> {});
                                    mContext.openAll();
                                    PooledSession session = mContext.mSent.remove(0).session();
                                    boolean exhausted = session.use().isExhausted();
                                    SessionResult result = status(i);
                                    session.recordResult(result);
                                    session.task().orElseThrow().onResult(session, result);
                                    return exhausted;
                                })
                        .count();
        assertEquals(0, sentOnExhausted);
    }

    /** Guards against an endpoint that counts as down soon after a command was sent again. */
    @ParameterizedTest
    @ValueSource(longs = {500, 890})
    void waitsForAnswerOfCommandThatWasSentAgain(long uncertainAfterMillis) {
        List<ConnectionLoss> losses = new ArrayList<>();
        ReplicationProbe probe =
                new ReplicationProbe(copy(), mContext, (pool, loss) -> losses.add(loss));
        probe.send(new SessionCommand.GetStatus(), result -> {});
        mContext.openAll();
        advance(probe, uncertainAfterMillis);
        mContext.answer(SessionCommand.GetStatus.class, status(1).asUncertain());
        mContext.openAll();
        assertEquals(1, mContext.mSent.size());
        advance(probe, 450);
        assertEquals(List.of(), losses);
    }

    private void advance(ReplicationProbe probe, long millis) {
        mContext.mNowNanos += Duration.ofMillis(millis).toNanos();
        probe.tick(mContext.mNowNanos);
    }

    private static CopyPool copy() {
        return new CopyPool(
                new EndpointRecord(
                        EndpointId.of("r"),
                        "service",
                        DataCentreId.of("dc"),
                        "127.0.0.1:1",
                        "",
                        List.of(new DatabaseRecord(Service.SINGLE_DATABASE, 2, 16)),
                        false,
                        1),
                16);
    }

    private static SessionResult status(int index) {
        LogPosition position = LogPosition.of(1, index + 1);
        return new SessionResult(
                List.of("replica 1 " + position),
                "",
                Optional.empty(),
                "",
                SessionResult.State.IDLE,
                Optional.of(position),
                Optional.of(new ReplicationStatus(false, 1, position, 0)));
    }
}
