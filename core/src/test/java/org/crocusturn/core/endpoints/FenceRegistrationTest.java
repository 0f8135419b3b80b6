package org.crocusturn.core.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against commits that are acknowledged while the platform may still carry out the order of
 * an earlier leaseholder, and against groups that wait although it cannot.
 */
class FenceRegistrationTest {
    private static final long MS = 1_000_000;
    private static final PromotionFencing CHECKED = new CheckedFencing();
    private static final PromotionFencing UNCHECKED = new UncheckedFencing();

    static Stream<Arguments> registrations() {
        FenceRegistration second = FenceRegistration.of(CHECKED, 2, 0);
        FenceRegistration sent = second.withOrderSent(10 * MS);
        FenceRegistration accepted = sent.withAccepted(20 * MS);
        return Stream.of(
                Arguments.of("first epoch", FenceRegistration.of(CHECKED, 1, 0), 0, true, false),
                Arguments.of("no numbers", FenceRegistration.of(UNCHECKED, 9, 0), 0, true, false),
                Arguments.of("nothing sent", second, 0, false, true),
                Arguments.of("order under way", sent, 300, false, false),
                Arguments.of("order without an answer", sent, 310, false, true),
                Arguments.of("order under way takes effect", accepted, 20, false, false),
                Arguments.of("accepted order may take effect", accepted, 1_219, false, false),
                Arguments.of("accepted orders took effect", accepted, 1_220, true, false),
                Arguments.of(
                        "later answers change nothing",
                        accepted.withAccepted(1_000 * MS),
                        1_220,
                        true,
                        false),
                Arguments.of("earlier orders may arrive", sent, 12_999, false, true),
                Arguments.of("earlier orders have expired", sent, 13_000, true, false));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("registrations")
    void decidesOnWritesAndOrders(
            String what, FenceRegistration registration, long millis, boolean writes, boolean due) {
        assertEquals(writes, registration.permitsWrites(millis * MS), what);
        assertEquals(due, registration.isOrderDue(millis * MS), what);
    }
}
