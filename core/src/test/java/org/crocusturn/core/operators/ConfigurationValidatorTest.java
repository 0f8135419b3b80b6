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

    private static Configuration configuration(List<Workspace> workspaces, Service... services) {
        return new Configuration(
                1, List.of(DataCentreId.of("n")), workspaces, List.of(services), List.of());
    }

    static Stream<Arguments> cases() {
        Workspace valid = workspace("w", 5, 5, "a");
        DataCentreId dataCentre = DataCentreId.of("n");
        return Stream.of(
                Arguments.of("", configuration(List.of(valid), SERVICE)),
                Arguments.of("workspaces[1].id", configuration(List.of(valid, valid), SERVICE)),
                Arguments.of(
                        "workspaces[0].rate.burst",
                        configuration(List.of(workspace("w", 5, 20_000_000, "a")), SERVICE)),
                Arguments.of(
                        "workspaces[0].rate.perSecond",
                        configuration(List.of(workspace("w", 2e6, 5, "a")), SERVICE)),
                Arguments.of(
                        "workspaces[0].databases.s",
                        configuration(List.of(workspace("w", 5, 5, "c")), SERVICE)),
                Arguments.of("workspaces[0].services", configuration(List.of(valid))),
                Arguments.of("services[1].name", configuration(List.of(), SERVICE, SERVICE)),
                Arguments.of(
                        "services[0].name",
                        configuration(List.of(), service("s/", List.of("a"), 3, 2, 16))),
                Arguments.of(
                        "services[0].databases",
                        configuration(List.of(), service("s", List.of(), 3, 2, 16))),
                Arguments.of(
                        "services[0].databases[0]",
                        configuration(List.of(), service("s", List.of("a b"), 3, 2, 16))),
                Arguments.of(
                        "services[0].databases[1]",
                        configuration(List.of(), service("s", List.of("a", "a"), 3, 2, 16))),
                Arguments.of(
                        "services[0].instances",
                        configuration(List.of(), service("s", List.of("a"), 0, 2, 16))),
                Arguments.of(
                        "services[0].acknowledge",
                        configuration(List.of(), service("s", List.of("a"), 1, 2, 16))),
                Arguments.of(
                        "services[0].slots",
                        configuration(List.of(), service("s", List.of("a"), 3, 0, 16))),
                Arguments.of(
                        "services[0].connections",
                        configuration(List.of(), service("s", List.of("a"), 3, 2, 1))),
                Arguments.of(
                        "dataCentres[1]",
                        new Configuration(
                                1,
                                List.of(dataCentre, dataCentre),
                                List.of(),
                                List.of(),
                                List.of())),
                Arguments.of(
                        "openRoutes[0]",
                        new Configuration(1, List.of(), List.of(), List.of(), List.of("health"))),
                Arguments.of(
                        "version",
                        new Configuration(0, List.of(), List.of(), List.of(), List.of())));
    }

    @ParameterizedTest
    @MethodSource("cases")
    void reportsThePathOfEachError(String path, Configuration configuration) {
        List<String> paths =
                ConfigurationValidator.validate(configuration).stream()
                        .map(ConfigurationViolation::path)
                        .toList();
        assertEquals(path.isEmpty() ? List.of() : List.of(path), paths);
    }
}
