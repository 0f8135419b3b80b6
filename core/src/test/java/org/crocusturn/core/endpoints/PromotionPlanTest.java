package org.crocusturn.core.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.LogPosition;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against promotions that lose acknowledged commits and against groups left without a
 * primary.
 */
class PromotionPlanTest {
    private static final Optional<LogPosition> UNKNOWN = Optional.empty();

    static Stream<Arguments> plans() {
        return Stream.concat(plansOfKnownCopies(), plansOfUnknownCopies());
    }

    private static Stream<Arguments> plansOfKnownCopies() {
        return Stream.of(
                plan(
                        "the newest copy is promoted",
                        List.of(copyAt("a", 5), copyAt("b", 7), unknown("p")),
                        UNKNOWN,
                        "b"),
                plan(
                        "two copies of unknown position may be newer",
                        List.of(copyAt("a", 5), unknown("b"), unknown("p")),
                        UNKNOWN,
                        ""),
                plan(
                        "one copy at the acknowledged position is enough",
                        List.of(copyAt("a", 5), unknown("b"), unknown("p")),
                        known(5),
                        "a"),
                plan(
                        "a copy behind the acknowledged position is not promoted",
                        List.of(copyAt("a", 4), unknown("b"), unknown("p")),
                        known(5),
                        ""),
                plan(
                        "a terminating copy loses a tie",
                        List.of(terminating("a", 7), copyAt("b", 7), unknown("p")),
                        UNKNOWN,
                        "b"),
                plan(
                        "a terminating copy is promoted if no other is complete",
                        List.of(terminating("a", 7), copyAt("b", 6), unknown("p")),
                        UNKNOWN,
                        "a"),
                plan(
                        "a copy in a drained data centre is not promoted",
                        List.of(drained("a", 7), copyAt("b", 7), unknown("p")),
                        UNKNOWN,
                        "b"),
                plan(
                        "no copy behind a newer drained one is promoted",
                        List.of(drained("a", 8), copyAt("b", 7), unknown("p")),
                        UNKNOWN,
                        ""),
                plan(
                        "the primary may be the only copy with a commit of a replica that left",
                        List.of(copyAt("a", 5), unknown("p")),
                        known(7),
                        exposed(7),
                        ""),
                plan(
                        "a commit after the departure is on a registered replica",
                        List.of(copyAt("a", 8), copyAt("b", 5), unknown("p")),
                        known(9),
                        exposed(7),
                        "a"),
                plan(
                        "a copy ahead of the lost replica has all of its commits",
                        List.of(copyAt("a", 7), copyAt("b", 5), unknown("p")),
                        UNKNOWN,
                        exposed(7),
                        "a"),
                plan(
                        "no copy is left that could have a newer commit",
                        List.of(copyAt("a", 5), copyAt("b", 4)),
                        known(7),
                        exposed(7),
                        "a"),
                plan(
                        "no copy has reported a position",
                        List.of(unknown("a"), unknown("b"), unknown("p")),
                        known(0),
                        ""));
    }

    private static Stream<Arguments> plansOfUnknownCopies() {
        return Stream.of(
                plan(
                        "a commit may be at the silent copy alone if nothing is known",
                        List.of(copyAt("a", 5), copyAt("b", 7), unknown("p")),
                        UNKNOWN,
                        ReplicaCoverage.unknown(),
                        ""),
                plan(
                        "the newest of all copies is promoted if nothing is known",
                        List.of(copyAt("a", 5), copyAt("b", 7), copyAt("p", 6)),
                        UNKNOWN,
                        ReplicaCoverage.unknown(),
                        "b"),
                missing(
                        "the only announced copy of three may be behind",
                        List.of(copyAt("a", 5)),
                        2,
                        UNKNOWN,
                        ""),
                missing(
                        "a copy that is not announced and a silent one may be newer",
                        List.of(copyAt("a", 5), unknown("p")),
                        1,
                        UNKNOWN,
                        ""),
                missing(
                        "a copy with all acknowledged commits needs no others",
                        List.of(copyAt("a", 5), unknown("p")),
                        1,
                        known(5),
                        "a"));
    }

    private static Arguments plan(
            String description,
            List<PromotionPlan.Candidate> copies,
            Optional<LogPosition> acknowledged,
            String chosen) {
        return plan(description, copies, acknowledged, ReplicaCoverage.complete(), chosen);
    }

    private static Arguments plan(
            String description,
            List<PromotionPlan.Candidate> copies,
            Optional<LogPosition> acknowledged,
            ReplicaCoverage coverage,
            String chosen) {
        return Arguments.of(description, copies, 0, acknowledged, coverage, chosen);
    }

    private static Arguments missing(
            String description,
            List<PromotionPlan.Candidate> copies,
            int missing,
            Optional<LogPosition> acknowledged,
            String chosen) {
        return Arguments.of(
                description, copies, missing, acknowledged, ReplicaCoverage.complete(), chosen);
    }

    private static ReplicaCoverage exposed(long index) {
        return ReplicaCoverage.behindPrimary(LogPosition.of(3, index));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("plans")
    void choosesSafely(
            String description,
            List<PromotionPlan.Candidate> copies,
            int missing,
            Optional<LogPosition> acknowledged,
            ReplicaCoverage coverage,
            String chosen) {
        assertEquals(
                chosen,
                PromotionPlan.choose(copies, missing, acknowledged, coverage)
                        .map(EndpointId::value)
                        .orElse(""),
                description);
    }

    private static Optional<LogPosition> known(long index) {
        return Optional.of(LogPosition.of(3, index));
    }

    private static PromotionPlan.Candidate copyAt(String id, long index) {
        return candidate(id, known(index), false, false);
    }

    private static PromotionPlan.Candidate unknown(String id) {
        return candidate(id, Optional.empty(), false, false);
    }

    private static PromotionPlan.Candidate terminating(String id, long index) {
        return candidate(id, known(index), true, false);
    }

    private static PromotionPlan.Candidate drained(String id, long index) {
        return candidate(id, known(index), false, true);
    }

    private static PromotionPlan.Candidate candidate(
            String id, Optional<LogPosition> received, boolean terminating, boolean drained) {
        return new PromotionPlan.Candidate(EndpointId.of(id), received, terminating, drained);
    }
}
