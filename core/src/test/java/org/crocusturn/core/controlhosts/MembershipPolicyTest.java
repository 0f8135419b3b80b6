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
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a group that keeps a dead voter, or grows to an even number for nothing. */
class MembershipPolicyTest {
    static Stream<Arguments> groups() {
        return Stream.of(
                group("a full group stays", "A B C", "", "", "", ""),
                group("a host joins as a learner", "A B C", "d", "", "", "add d"),
                group("a fourth member does not vote", "A B C d", "", "", "d", ""),
                group("a learner replaces a silent voter", "A B C d", "", "c", "d", "promote d"),
                group("the silent voter goes then", "A B C D", "", "c", "", "remove c"),
                group("nothing replaces it yet", "A B C d", "", "c", "", ""),
                group("a silent learner goes", "A B C d", "", "d", "", "remove d"),
                group("two learners make five voters", "A B C d e", "", "", "d e", "promote d"),
                group("the second one follows", "A B C D e", "", "", "e", "promote e"),
                group("two voters get a third", "A B c", "", "", "c", "promote c"));
    }

    private static Arguments group(
            String what, String members, String joining, String silent, String ready, String next) {
        return Arguments.of(what, members, joining, silent, ready, next);
    }

    /** Members are written as letters, capital ones vote. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("groups")
    void decides(
            String what, String members, String joining, String silent, String ready, String next) {
        Membership membership =
                new Membership(
                        words(members)
                                .map(
                                        m ->
                                                new Member(
                                                        HostId.of(m.toLowerCase()),
                                                        m.toLowerCase() + ":1",
                                                        Character.isUpperCase(m.charAt(0))))
                                .toList());
        Map<HostId, String> joins =
                words(joining).collect(Collectors.toMap(HostId::of, w -> w + ":1"));
        assertEquals(
                next,
                MembershipPolicy.next(membership, joins, hosts(silent), hosts(ready))
                        .map(MembershipPolicyTest::text)
                        .orElse(""),
                what);
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
