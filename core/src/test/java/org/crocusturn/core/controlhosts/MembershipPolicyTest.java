package org.crocusturn.core.controlhosts;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.crocusturn.core.HostId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a group that keeps a failed voter or has an even number of voters for long. */
class MembershipPolicyTest {
    static Stream<Arguments> groups() {
        return Stream.of(
                group("a complete group does not change", "A B C", "", "", "", ""),
                group("a host joins as a learner", "A B C", "d", "", "", "add d"),
                group("a single learner is not promoted", "A B C d", "", "", "d", ""),
                group("a learner replaces a silent voter", "A B C d", "", "c", "d", "promote d"),
                group("the replaced voter is removed", "A B C D", "", "c", "", "remove c"),
                group("no learner is ready to replace a silent voter", "A B C d", "", "c", "", ""),
                group("a silent learner is removed", "A B C d", "", "d", "", "remove d"),
                group(
                        "the first of two learners is promoted",
                        "A B C d e",
                        "",
                        "",
                        "d e",
                        "promote d"),
                group(
                        "the second of two learners is promoted",
                        "A B C D e",
                        "",
                        "",
                        "e",
                        "promote e"),
                group(
                        "a learner makes the number of voters odd",
                        "A B c",
                        "",
                        "",
                        "c",
                        "promote c"));
    }

    private static Arguments group(
            String what, String members, String joining, String silent, String ready, String next) {
        return Arguments.of(what, members, joining, silent, ready, next);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("groups")
    void decides(
            String what, String members, String joining, String silent, String ready, String next) {
        Membership membership = membership(members);
        Map<HostId, String> joins =
                words(joining).collect(Collectors.toMap(HostId::of, w -> w + ":1"));
        assertEquals(
                next,
                MembershipPolicy.next(membership, joins, hosts(silent), hosts(ready))
                        .map(MembershipPolicyTest::text)
                        .orElse(""),
                what);
    }

    /** Guards against a warning that is missing although a group tolerates too few losses. */
    @ParameterizedTest(name = "{0}, lost: {1}")
    @CsvSource({
        "A B C, '', 1",
        "A B C d, '', 1",
        "A B C D E, '', 2",
        "A B C D E, c, 1",
        "A B C, b c, 0"
    })
    void countsTolerableLosses(String members, String lost, int expected) {
        assertEquals(expected, membership(members).tolerableLosses(hosts(lost)));
    }

    /** Members are letters; capital letters are voters. */
    private static Membership membership(String members) {
        return new Membership(
                words(members)
                        .map(
                                m ->
                                        new Member(
                                                HostId.of(m.toLowerCase()),
                                                m.toLowerCase() + ":1",
                                                Character.isUpperCase(m.charAt(0))))
                        .toList());
    }

    private static String text(MembershipChange change) {
        if (change instanceof MembershipChange.AddLearner add) {
            return "add " + add.host();
        }
        return change instanceof MembershipChange.Promote promote
                ? "promote " + promote.host()
                : "remove " + ((MembershipChange.Remove) change).host();
    }

    private static Set<HostId> hosts(String text) {
        return words(text).map(HostId::of).collect(Collectors.toSet());
    }

    private static Stream<String> words(String text) {
        List<String> words = Arrays.stream(text.split(" ")).filter(w -> !w.isEmpty()).toList();
        return words.stream();
    }
}
