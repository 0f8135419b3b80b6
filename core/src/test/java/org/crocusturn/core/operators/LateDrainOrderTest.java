package org.crocusturn.core.operators;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.operators.ControlCommand.SetDataCentreDrained;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against an order to drain or restore a data centre that takes effect after the operator
 * gave it up, and undoes a later, acknowledged one.
 */
class LateDrainOrderTest {
    private static final DataCentreId DATA_CENTRE = DataCentreId.of("z2");
    private static final long MS = 1_000_000;

    private final List<ControlCommand> mLog = new ArrayList<>();
    private ControlState mState = ControlState.EMPTY;

    /** Orders that the late host has applied, and when. */
    private AppliedDrainOrders mApplied = AppliedDrainOrders.NONE;

    private int mIds;

    /** Where the order was when the operator gave it up. */
    enum Delay {
        /** In a socket of a frozen host, which reads it before it learns of the later orders. */
        FROZEN_READS_FIRST,
        /** In a socket of a frozen host, which learns of the later orders before it reads. */
        FROZEN_CATCHES_UP_FIRST,
        /** Held back on a connection that was open before the later orders. */
        SLOW_CONNECTION,
        /** Proposed by a host that was deposed or cut off, which forwards it later. */
        FORWARDED_LATE,
        /** Proposed twice: the first attempt was committed although its sender did not learn it. */
        COMMITTED_TWICE,
        /** In a socket of a host that starts again and replays the log. */
        LOG_REPLAYED
    }

    /** What the operator ordered after giving the order up. */
    enum Meanwhile {
        REPEATED_AND_REVERSED,
        REVERSED
    }

    static Stream<Arguments> cases() {
        return Stream.of(Delay.values())
                .flatMap(
                        delay ->
                                Stream.of(Meanwhile.values())
                                        .flatMap(
                                                meanwhile ->
                                                        Stream.of(true, false)
                                                                .map(
                                                                        drains ->
                                                                                Arguments.of(
                                                                                        delay,
                                                                                        meanwhile,
                                                                                        drains))));
    }

    private Optional<ErrorCode> commit(ControlCommand command) {
        mLog.add(command);
        ControlStateMachine.Applied applied =
                ControlStateMachine.apply(mState, mState.version() + 1, command);
        mState = applied.state();
        return applied.outcome().orElseThrow().refusal().map(Failure::code);
    }

    private SetDataCentreDrained order(boolean drained, long precedingOrder) {
        return new SetDataCentreDrained(
                "order-" + ++mIds, DATA_CENTRE, drained, Optional.of(precedingOrder));
    }

    /** Commits an order that a host in touch received now. */
    private void orderInTouch(boolean drained) {
        long latest = mState.drainOrders().getOrDefault(DATA_CENTRE, 0L);
        assertEquals(Optional.empty(), commit(order(drained, latest)));
    }

    /** Lets the late host apply everything. */
    private void catchUp(long millis) {
        mApplied = mApplied.with(mState, millis * MS);
    }

    private SetDataCentreDrained read(boolean drained, long earliestSentMillis) {
        return order(drained, mApplied.precedingOrder(DATA_CENTRE, earliestSentMillis * MS));
    }

    @ParameterizedTest
    @MethodSource("cases")
    void undoesNoLaterOrder(Delay delay, Meanwhile meanwhile, boolean drains) {
        orderInTouch(!drains);
        catchUp(0);
        // The order is sent at 10 s; the others follow until 14 s.
        SetDataCentreDrained early = read(drains, 10_000);
        if (meanwhile == Meanwhile.REPEATED_AND_REVERSED) {
            orderInTouch(drains);
        }
        if (delay == Delay.COMMITTED_TWICE) {
            commit(early);
        }
        orderInTouch(!drains);
        switch (delay) {
            case FROZEN_READS_FIRST -> commit(read(drains, 14_001));
            case FROZEN_CATCHES_UP_FIRST -> {
                catchUp(14_000);
                commit(read(drains, 14_900));
            }
            case SLOW_CONNECTION -> {
                catchUp(12_000);
                commit(read(drains, 10_000));
            }
            case LOG_REPLAYED -> {
                List<ControlCommand> log = List.copyOf(mLog);
                mState = ControlState.EMPTY;
                log.forEach(this::commit);
                mApplied = AppliedDrainOrders.NONE;
                catchUp(14_000);
                commit(read(drains, 14_100));
            }
            default -> commit(early);
        }
        assertEquals(!drains, mState.drained().contains(DATA_CENTRE));
    }

    /** Guards against orders that are refused for good although the operator repeats them. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void acceptsTheRepetitionAfterARefusal(boolean drains) {
        orderInTouch(!drains);
        catchUp(5_000);
        assertEquals(Optional.of(ErrorCode.UNAVAILABLE), commit(read(drains, 5_500)));
        assertEquals(Optional.empty(), commit(read(drains, 6_000)));
        assertEquals(drains, mState.drained().contains(DATA_CENTRE));
    }

    /** Guards against a repetition that is refused although its order is in force. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void acknowledgesAnAcceptedOrderAgain(boolean drains) {
        orderInTouch(!drains);
        catchUp(0);
        SetDataCentreDrained first = read(drains, 10_000);
        assertEquals(Optional.empty(), commit(first));
        assertEquals(Optional.empty(), commit(first));
        catchUp(10_010);
        assertEquals(Optional.empty(), commit(read(drains, 10_500)));
        assertEquals(drains, mState.drained().contains(DATA_CENTRE));
    }
}
