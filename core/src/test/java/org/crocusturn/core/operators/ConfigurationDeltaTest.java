package org.crocusturn.core.operators;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.Sha256;
import org.crocusturn.core.WorkspaceId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against hosts that follow differences and end with another configuration than the one that
 * the operator sent, and against differences as large as the configuration.
 */
class ConfigurationDeltaTest {
    /** Each row has the names of the elements before and after; an element "a:2" has value 2. */
    @ParameterizedTest
    @CsvSource({
        "a b c, a b c, 0, 0",
        "a b c, a b c d, 1, 0",
        "a b c, a c, 0, 1",
        "a b c, a b:2 c, 1, 0",
        "a b:2 c, c b a, 1, 0",
        "a b, c d, 2, 2",
        "'', a b, 2, 0",
        "a b, '', 0, 2"
    })
    void leadsToTheLaterConfiguration(String before, String after, int changed, int removed) {
        Configuration base = configuration(3, before);
        Configuration next = configuration(8, after);
        ConfigurationDelta delta = ConfigurationDelta.between(base, next);
        assertEquals(changed, delta.changed().workspaces().size());
        assertEquals(changed, delta.changed().services().size());
        assertEquals(changed, delta.changed().keys().size());
        assertEquals(changed, delta.changed().routes().size());
        assertEquals(removed, delta.removedWorkspaces().size());
        assertEquals(removed, delta.removedServices().size());
        assertEquals(removed, delta.removedKeys().size());
        assertEquals(removed, delta.removedRoutes().size());
        assertEquals(content(next), content(delta.applyTo(base)));
        assertEquals(next.version(), delta.applyTo(base).version());
    }

    @ParameterizedTest
    @CsvSource({"2", "4"})
    void appliesToOneVersionOnly(long version) {
        ConfigurationDelta delta =
                ConfigurationDelta.between(configuration(3, "a"), configuration(8, "b"));
        Configuration other = configuration(version, "a");
        assertThrows(IllegalArgumentException.class, () -> delta.applyTo(other));
    }

    /** A command that the control hosts rejected must change nothing on the hosts that follow. */
    @ParameterizedTest
    @CsvSource({"true, 3", "true, 8", "false, 3", "false, 9"})
    void changesNothingForRejectedCommands(boolean withdrawsKeys, long version) {
        ControlState state =
                ControlState.EMPTY.withVersion(1).withConfiguration(configuration(8, "a b"), "one");
        ControlCommand patch =
                new ControlCommand.PatchConfiguration(
                        "two",
                        ConfigurationDelta.between(state.configuration(), state.configuration()),
                        withdrawsKeys);
        ControlState after = ControlStateMachine.apply(state, 2, patch).state();
        assertEquals(state.withVersion(2).withChanges(after.changes()), after);
        assertEquals(Set.of("two"), after.changes().keySet());
    }

    private static List<Object> content(Configuration value) {
        return List.of(
                value.dataCentres(),
                Set.copyOf(value.workspaces()),
                Set.copyOf(value.services()),
                value.openRoutes(),
                value.dataCentreStates(),
                Set.copyOf(value.keys()),
                Set.copyOf(value.routes()),
                value.sessionLimits());
    }

    private static Configuration configuration(long version, String elements) {
        Map<String, Integer> values =
                Arrays.stream(elements.split(" "))
                        .filter(element -> !element.isEmpty())
                        .map(element -> (element + ":1").split(":"))
                        .collect(Collectors.toMap(e -> e[0], e -> Integer.parseInt(e[1])));
        List<String> sorted = values.keySet().stream().sorted().toList();
        return new Configuration(
                version,
                List.of(DataCentreId.of("delft"), DataCentreId.of("zone-" + version)),
                sorted.stream().map(n -> workspace(n, values.get(n))).toList(),
                sorted.stream().map(n -> service(n, values.get(n))).toList(),
                List.of("/open/" + version),
                Map.of(DataCentreId.of("delft"), DataCentreState.DRAINED),
                sorted.stream().map(n -> key(n, values.get(n))).toList(),
                sorted.stream().map(n -> route(n, values.get(n))).toList(),
                new SessionLimits(Duration.ofSeconds(version)),
                "text of version " + version);
    }

    private static Workspace workspace(String name, int value) {
        return new Workspace(
                WorkspaceId.of(name), new RateLimit(value, value), Set.of(name), Map.of());
    }

    private static Service service(String name, int value) {
        return new Service(
                name,
                List.of(Service.SINGLE_DATABASE),
                3,
                value,
                16,
                AcknowledgeMode.DURABLE,
                true,
                PromotionMode.LEASEHOLDER);
    }

    private static KeyRecord key(String name, int value) {
        return new KeyRecord(name + value, Sha256.hex(name), WorkspaceId.of(name));
    }

    private static Route route(String name, int value) {
        return new Route(
                "route-" + name,
                name,
                name,
                Consistency.OWN_WRITES,
                Duration.ofMillis(1_500),
                Duration.ofMillis(100 * value),
                Duration.ofMillis(400),
                2,
                false);
    }
}
