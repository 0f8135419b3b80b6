package org.crocusturn.core.operators;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.WorkspaceId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against an invalid configuration that is accepted, and against an error that is reported
 * at the wrong path.
 */
class ConfigurationValidatorTest {
    private static final Service SERVICE = service("s", List.of("a", "b"), 3, 2, 16);

    private static Service service(
            String name, List<String> databases, int instances, int slots, int connections) {
        return new Service(
                name, databases, instances, slots, connections, AcknowledgeMode.DURABLE, false);
    }

    private static Workspace workspace(String id, double rate, long burst, String database) {
        return new Workspace(
                WorkspaceId.of(id), new RateLimit(rate, burst), Set.of("s"), Map.of("s", database));
    }

    private static Configuration with(List<Workspace> workspaces, Service... services) {
        return new Configuration(
                1, List.of(DataCentreId.of("n")), workspaces, List.of(services), List.of());
    }

    static Stream<Arguments> cases() {
        Workspace sound = workspace("w", 5, 5, "a");
        DataCentreId centre = DataCentreId.of("n");
        return Stream.of(
                Arguments.of("", with(List.of(sound), SERVICE)),
                Arguments.of("workspaces[1].id", with(List.of(sound, sound), SERVICE)),
                Arguments.of(
                        "workspaces[0].rate.burst",
                        with(List.of(workspace("w", 5, 20_000_000, "a")), SERVICE)),
                Arguments.of(
                        "workspaces[0].rate.perSecond",
                        with(List.of(workspace("w", 2e6, 5, "a")), SERVICE)),
                Arguments.of(
                        "workspaces[0].databases.s",
                        with(List.of(workspace("w", 5, 5, "c")), SERVICE)),
                Arguments.of("workspaces[0].services", with(List.of(sound))),
                Arguments.of("services[1].name", with(List.of(), SERVICE, SERVICE)),
                Arguments.of(
                        "services[0].name", with(List.of(), service("s/", List.of("a"), 3, 2, 16))),
                Arguments.of(
                        "services[0].databases",
                        with(List.of(), service("s", List.of(), 3, 2, 16))),
                Arguments.of(
                        "services[0].databases[0]",
                        with(List.of(), service("s", List.of("a b"), 3, 2, 16))),
                Arguments.of(
                        "services[0].databases[1]",
                        with(List.of(), service("s", List.of("a", "a"), 3, 2, 16))),
                Arguments.of(
                        "services[0].instances",
                        with(List.of(), service("s", List.of("a"), 0, 2, 16))),
                Arguments.of(
                        "services[0].acknowledge",
                        with(List.of(), service("s", List.of("a"), 1, 2, 16))),
                Arguments.of(
                        "services[0].slots", with(List.of(), service("s", List.of("a"), 3, 0, 16))),
                Arguments.of(
                        "services[0].connections",
                        with(List.of(), service("s", List.of("a"), 3, 2, 1))),
                Arguments.of(
                        "dataCentres[1]",
                        new Configuration(
                                1, List.of(centre, centre), List.of(), List.of(), List.of())),
                Arguments.of(
                        "openRoutes[0]",
                        new Configuration(1, List.of(), List.of(), List.of(), List.of("health"))),
                Arguments.of(
                        "version",
                        new Configuration(0, List.of(), List.of(), List.of(), List.of())));
    }

    @ParameterizedTest
    @MethodSource("cases")
    void namesThePath(String path, Configuration configuration) {
        List<String> paths =
                ConfigurationValidator.validate(configuration).stream()
                        .map(ConfigurationFault::path)
                        .toList();
        assertEquals(path.isEmpty() ? List.of() : List.of(path), paths);
    }
}
