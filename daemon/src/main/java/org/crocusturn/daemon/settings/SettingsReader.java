package org.crocusturn.daemon.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.platform.MeteringSettings;
import org.crocusturn.daemon.net.Addresses;

/**
 * Reads the settings files of processes; a file with any fault is rejected as a whole.
 *
 * <p>Relative paths are resolved against the folder of the settings file.
 */
public final class SettingsReader {
    private static final Duration DEFAULT_BALANCER_DELAY = Duration.ofSeconds(1);
    private static final Duration DEFAULT_DRAIN_LIMIT = Duration.ofSeconds(30);
    private static final Duration MAX_DRAIN_LIMIT = Duration.ofMinutes(10);
    private static final String[] PLATFORM_FIELDS = {"address", "balancerDelay", "drainLimit"};
    private static final int MAX_MEMBERS = 7;
    private static final Duration DEFAULT_LATENESS = Duration.ofSeconds(10);
    private static final Duration MIN_USAGE_WINDOW = Duration.ofSeconds(1);
    private static final Duration MAX_USAGE_DURATION = Duration.ofHours(1);
    private static final double DEFAULT_USAGE_TOLERANCE = 0.05;

    private final List<Fault> mFaults = new ArrayList<>();
    private final Path mFolder;

    private SettingsReader(Path folder) {
        mFolder = folder;
    }

    /**
     * Reads the settings of an entry host.
     *
     * @param text content of the file
     * @param folder folder of the file
     * @throws FaultsException if the file has faults
     */
    public static EntrySettings readEntry(String text, Path folder) {
        return new SettingsReader(folder).readEntryFile(text);
    }

    /**
     * Reads the settings of a control host.
     *
     * @param text content of the file
     * @param folder folder of the file
     * @throws FaultsException if the file has faults
     */
    public static ControlSettings readControl(String text, Path folder) {
        return new SettingsReader(folder).readControlFile(text);
    }

    private EntrySettings readEntryFile(String text) {
        YamlValue file =
                YamlValue.parse(text, mFaults)
                        .allowOnly(
                                "host",
                                "dataCentre",
                                "callers",
                                "link",
                                "platform",
                                "controlHosts",
                                "linkSecretFile",
                                "sessionSecretFile");
        EntrySettings settings =
                new EntrySettings(
                        host(file.required("host")),
                        dataCentre(file.required("dataCentre")),
                        address(file.required("callers")),
                        address(file.required("link")),
                        platform(file.required("platform")),
                        peers(file.required("controlHosts")),
                        secret(file.required("linkSecretFile")),
                        secret(file.required("sessionSecretFile")));
        throwIfFaulty();
        return settings;
    }

    private ControlSettings readControlFile(String text) {
        YamlValue file =
                YamlValue.parse(text, mFaults)
                        .allowOnly(
                                "host",
                                "dataCentre",
                                "dataFolder",
                                "link",
                                "operators",
                                "endpoints",
                                "platform",
                                "members",
                                "bootstrap",
                                "linkSecretFile",
                                "operatorSecretFile",
                                "announcementSecretFile",
                                "metering");
        HostId host = host(file.required("host"));
        YamlValue memberList = file.required("members");
        List<PeerAddress> members = peers(memberList);
        if (members.stream().noneMatch(m -> m.host().equals(host))) {
            memberList.addFault("a list that includes this host, " + host);
        }
        ControlSettings settings =
                new ControlSettings(
                        host,
                        dataCentre(file.required("dataCentre")),
                        mFolder.resolve(file.required("dataFolder").text("data")),
                        address(file.required("link")),
                        address(file.required("operators")),
                        address(file.required("endpoints")),
                        platform(file.required("platform")),
                        members,
                        file.optional("bootstrap").flag(false),
                        secret(file.required("linkSecretFile")),
                        secret(file.required("operatorSecretFile")),
                        secret(file.required("announcementSecretFile")),
                        metering(file.optional("metering")));
        throwIfFaulty();
        return settings;
    }

    private PlatformSettings platform(YamlValue value) {
        value.allowOnly(PLATFORM_FIELDS);
        return new PlatformSettings(
                address(value.required("address")),
                value.optional("balancerDelay")
                        .duration(DEFAULT_BALANCER_DELAY, Duration.ZERO, MAX_DRAIN_LIMIT),
                value.optional("drainLimit")
                        .duration(DEFAULT_DRAIN_LIMIT, Duration.ZERO, MAX_DRAIN_LIMIT));
    }

    private Optional<MeteringSettings> metering(YamlValue value) {
        value.allowOnly("window", "tolerance", "lateness");
        Duration window =
                value.required("window")
                        .duration(DEFAULT_LATENESS, MIN_USAGE_WINDOW, MAX_USAGE_DURATION);
        double tolerance = value.optional("tolerance").share(DEFAULT_USAGE_TOLERANCE);
        Duration lateness =
                value.optional("lateness")
                        .duration(DEFAULT_LATENESS, MIN_USAGE_WINDOW, MAX_USAGE_DURATION);
        return value.isPresent()
                ? Optional.of(new MeteringSettings(window, tolerance, lateness))
                : Optional.empty();
    }

    private List<PeerAddress> peers(YamlValue value) {
        List<YamlValue> entries = value.list();
        if (value.isPresent() && (entries.isEmpty() || entries.size() > MAX_MEMBERS)) {
            value.addFault("a list of 1 to " + MAX_MEMBERS + " control hosts");
        }
        Set<String> seen = new HashSet<>();
        return entries.stream()
                .map(entry -> entry.allowOnly("host", "address"))
                .map(
                        entry -> {
                            YamlValue host = entry.required("host");
                            if (!seen.add(host.text("?"))) {
                                host.addFault("a host that is unique in the list");
                            }
                            return new PeerAddress(host(host), address(entry.required("address")));
                        })
                .toList();
    }

    private static HostId host(YamlValue value) {
        return readName(value, HostId::of);
    }

    private static DataCentreId dataCentre(YamlValue value) {
        return readName(value, DataCentreId::of);
    }

    private static <T> T readName(YamlValue value, Function<String, T> factory) {
        T placeholder = factory.apply("absent");
        return value.convert(
                placeholder,
                "1 to 100 letters, digits, dots, hyphens or underscores",
                text -> {
                    try {
                        return factory.apply(text);
                    } catch (CrocusturnException e) {
                        throw new IllegalArgumentException(e);
                    }
                },
                any -> true);
    }

    private static InetSocketAddress address(YamlValue value) {
        return value.convert(
                InetSocketAddress.createUnresolved("absent", 0),
                "an IP address, a colon and a port, such as 127.0.0.1:7000",
                Addresses::parse,
                any -> true);
    }

    private Secret secret(YamlValue value) {
        Secret placeholder = Secret.of("");
        return value.convert(
                placeholder,
                "a file that only its owner can read, with at least 16 bytes",
                text -> Secret.ofFile(mFolder.resolve(text)),
                any -> true);
    }

    private void throwIfFaulty() {
        if (!mFaults.isEmpty()) {
            throw FaultsException.of(mFaults);
        }
    }
}
