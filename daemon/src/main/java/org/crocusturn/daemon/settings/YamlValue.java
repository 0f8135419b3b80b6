package org.crocusturn.daemon.settings;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.constructor.SafeConstructor;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;
import org.yaml.snakeyaml.nodes.Tag;

/**
 * Value in a YAML file with its path and line.
 *
 * <p>Reading does not stop at a fault: a method that finds one adds it to the list of faults of the
 * file and returns a placeholder, so that one run reports all faults.
 */
public final class YamlValue {
    private static final Pattern DURATION = Pattern.compile("([0-9]{1,9})(ms|s|min)");
    private static final int MAX_FILE_CHARACTERS = 8 << 20;
    private static final int MAX_DEPTH = 20;
    private static final int MAX_DISPLAYED_CHARACTERS = 60;

    private final Node mNode;
    private final String mPath;
    private final List<Fault> mFaults;

    private YamlValue(Node node, String path, List<Fault> faults) {
        mNode = node;
        mPath = path;
        mFaults = faults;
    }

    /**
     * Parses a YAML text.
     *
     * @param faults list to which the faults of the file are added
     * @throws FaultsException if the text is not valid YAML
     */
    public static YamlValue parse(String text, List<Fault> faults) {
        LoaderOptions options = new LoaderOptions();
        options.setAllowDuplicateKeys(false);
        options.setNestingDepthLimit(MAX_DEPTH);
        options.setCodePointLimit(MAX_FILE_CHARACTERS);
        options.setMaxAliasesForCollections(0);
        try {
            Node node =
                    new Yaml(new SafeConstructor(options)).compose(new java.io.StringReader(text));
            if (node == null) {
                throw FaultsException.of(
                        List.of(new Fault(1, "file", "nothing", "a YAML mapping")));
            }
            return new YamlValue(node, "", faults);
        } catch (MarkedYAMLException e) {
            int line = e.getProblemMark() == null ? 0 : e.getProblemMark().getLine() + 1;
            throw FaultsException.of(
                    List.of(new Fault(line, "file", "text that is not YAML", e.getProblem())));
        } catch (YAMLException e) {
            throw FaultsException.of(
                    List.of(new Fault(0, "file", "text that is not YAML", "a YAML mapping")));
        }
    }

    /** Returns the path from the root of the file, such as {@code workspaces[2].rate}. */
    public String path() {
        return mPath;
    }

    /** Returns the line in the file, starting at 1, or 0 if the value is absent. */
    public int line() {
        return mNode == null || mNode.getStartMark() == null
                ? 0
                : mNode.getStartMark().getLine() + 1;
    }

    /**
     * Returns the line of a path such as {@code workspaces[2].rate}, or of its nearest ancestor.
     */
    public int lineOf(String path) {
        YamlValue nearest = this;
        for (String pathElement : path.split("[.\\[]")) {
            YamlValue child = nearest.childAt(pathElement);
            if (!child.isPresent()) {
                break;
            }
            nearest = child;
        }
        return nearest.line();
    }

    private YamlValue childAt(String pathElement) {
        if (mNode instanceof SequenceNode sequence && pathElement.matches("[0-9]{1,6}]")) {
            int index = Integer.parseInt(pathElement.substring(0, pathElement.length() - 1));
            List<Node> nodes = sequence.getValue();
            Node node = index < nodes.size() ? nodes.get(index) : null;
            return new YamlValue(node, childPath(pathElement), mFaults);
        }
        Node node =
                fieldTuples()
                        .filter(tuple -> keyOf(tuple).equals(pathElement))
                        .map(NodeTuple::getValueNode)
                        .findFirst()
                        .orElse(null);
        return new YamlValue(node, childPath(pathElement), mFaults);
    }

    /** Returns whether the value exists and is not null. */
    public boolean isPresent() {
        return mNode != null && !Tag.NULL.equals(mNode.getTag());
    }

    /** Returns whether the value is a mapping. */
    public boolean isMapping() {
        return mNode instanceof MappingNode;
    }

    /** Adds a fault for each field of the mapping that is not one of the given fields. */
    public YamlValue allowOnly(String... fields) {
        Set<String> allowed = Set.of(fields);
        fieldTuples()
                .filter(tuple -> !allowed.contains(keyOf(tuple)))
                .forEach(
                        tuple ->
                                mFaults.add(
                                        new Fault(
                                                tuple.getKeyNode().getStartMark().getLine() + 1,
                                                childPath(keyOf(tuple)),
                                                "an unknown field",
                                                String.join(", ", fields))));
        return this;
    }

    /** Returns a required field of the mapping. */
    public YamlValue required(String field) {
        YamlValue value = optional(field);
        if (!value.isPresent() && mNode instanceof MappingNode) {
            mFaults.add(new Fault(line(), childPath(field), "nothing", "a value"));
        }
        return value;
    }

    /** Returns an optional field of the mapping. */
    public YamlValue optional(String field) {
        if (isPresent() && !(mNode instanceof MappingNode)) {
            addFaultOnce("a mapping");
        }
        Node node =
                fieldTuples()
                        .filter(tuple -> keyOf(tuple).equals(field))
                        .map(NodeTuple::getValueNode)
                        .findFirst()
                        .orElse(null);
        return new YamlValue(node, childPath(field), mFaults);
    }

    /** Returns the elements of a list; empty if the value is absent. */
    public List<YamlValue> list() {
        if (!isPresent()) {
            return List.of();
        }
        if (!(mNode instanceof SequenceNode sequence)) {
            addFault("a list");
            return List.of();
        }
        List<Node> nodes = sequence.getValue();
        return IntStream.range(0, nodes.size())
                .mapToObj(n -> new YamlValue(nodes.get(n), mPath + "[" + n + "]", mFaults))
                .toList();
    }

    /** Returns the fields of a mapping; empty if the value is absent. */
    public Map<String, YamlValue> map() {
        Map<String, YamlValue> values = new HashMap<>();
        if (isPresent() && !(mNode instanceof MappingNode)) {
            addFault("a mapping");
        }
        fieldTuples()
                .forEach(
                        tuple ->
                                values.put(
                                        keyOf(tuple),
                                        new YamlValue(
                                                tuple.getValueNode(),
                                                childPath(keyOf(tuple)),
                                                mFaults)));
        return values;
    }

    /** Returns a string, or the default if the value is absent. */
    public String text(String defaultValue) {
        if (!isPresent()) {
            return defaultValue;
        }
        if (mNode instanceof ScalarNode scalar) {
            return scalar.getValue();
        }
        addFault("a string");
        return defaultValue;
    }

    /** Returns a string that satisfies a condition, or the default if the value is absent. */
    public String text(String defaultValue, String allowed, Predicate<String> condition) {
        String value = text(defaultValue);
        if (isPresent() && mNode instanceof ScalarNode && !condition.test(value)) {
            addFault(allowed);
            return defaultValue;
        }
        return value;
    }

    /** Returns an integer within a range, or the default if the value is absent. */
    public long number(long defaultValue, long min, long max) {
        String allowed = "a whole number from " + min + " to " + max;
        return convert(defaultValue, allowed, Long::parseLong, n -> n >= min && n <= max);
    }

    /** Returns a boolean, or the default if the value is absent. */
    public boolean flag(boolean defaultValue) {
        return convert(
                defaultValue,
                "true or false",
                text -> {
                    if (!text.equals("true") && !text.equals("false")) {
                        throw new IllegalArgumentException(text);
                    }
                    return text.equals("true");
                },
                any -> true);
    }

    /** Returns a rate such as {@code 50/s}, in requests per second. */
    public double rate() {
        return convert(
                1.0,
                "requests per second, such as 50/s, from 0.001/s to 100000000/s",
                text -> {
                    if (!text.matches("[0-9]{1,9}(\\.[0-9]{1,3})?/s")) {
                        throw new IllegalArgumentException(text);
                    }
                    return Double.parseDouble(text.substring(0, text.length() - 2));
                },
                rate -> rate >= 0.001 && rate <= 1e8);
    }

    /** Returns a share between 0 and 1, or the default if the value is absent. */
    public double share(double defaultValue) {
        return convert(
                defaultValue,
                "a share from 0.001 to 0.999, such as 0.05",
                Double::parseDouble,
                share -> share >= 0.001 && share <= 0.999);
    }

    /** Returns a duration such as {@code 250ms}, {@code 2s} or {@code 5min}. */
    public Duration duration(Duration defaultValue, Duration min, Duration max) {
        return convert(
                defaultValue,
                "a duration such as 250ms, 2s or 5min, from "
                        + min.toMillis()
                        + "ms to "
                        + max.toMillis()
                        + "ms",
                YamlValue::parseDuration,
                d -> d.compareTo(min) >= 0 && d.compareTo(max) <= 0);
    }

    /** Converts the text of the value; an IllegalArgumentException of the converter is a fault. */
    public <T> T convert(
            T defaultValue, String allowed, Function<String, T> converter, Predicate<T> condition) {
        if (!isPresent()) {
            return defaultValue;
        }
        if (mNode instanceof ScalarNode scalar) {
            try {
                T value = converter.apply(scalar.getValue());
                if (condition.test(value)) {
                    return value;
                }
            } catch (IllegalArgumentException e) {
                // Reported as a fault below.
            }
        }
        addFault(allowed);
        return defaultValue;
    }

    /** Adds a fault for this value. */
    public void addFault(String allowed) {
        mFaults.add(new Fault(line(), mPath.isEmpty() ? "file" : mPath, displayText(), allowed));
    }

    private void addFaultOnce(String allowed) {
        boolean reported = mFaults.stream().anyMatch(f -> f.path().equals(mPath));
        if (!reported) {
            addFault(allowed);
        }
    }

    private String displayText() {
        if (mNode instanceof ScalarNode scalar) {
            String value = scalar.getValue();
            return "\""
                    + (value.length() > MAX_DISPLAYED_CHARACTERS
                            ? value.substring(0, MAX_DISPLAYED_CHARACTERS) + "..."
                            : value)
                    + "\"";
        }
        if (mNode instanceof MappingNode) {
            return "a mapping";
        }
        return mNode instanceof SequenceNode ? "a list" : "nothing";
    }

    private Stream<NodeTuple> fieldTuples() {
        return mNode instanceof MappingNode mapping ? mapping.getValue().stream() : Stream.empty();
    }

    private static String keyOf(NodeTuple tuple) {
        return tuple.getKeyNode() instanceof ScalarNode scalar ? scalar.getValue() : "?";
    }

    private String childPath(String field) {
        return mPath.isEmpty() ? field : mPath + "." + field;
    }

    private static Duration parseDuration(String text) {
        Matcher matcher = DURATION.matcher(text);
        if (!matcher.matches()) {
            throw new IllegalArgumentException(text);
        }
        long amount = Long.parseLong(matcher.group(1));
        return switch (matcher.group(2)) {
            case "ms" -> Duration.ofMillis(amount);
            case "s" -> Duration.ofSeconds(amount);
            default -> Duration.ofMinutes(amount);
        };
    }

    @Override
    public String toString() {
        return mPath + "=" + displayText();
    }

    /** Returns the elements of a list as strings. */
    public List<String> texts() {
        return list().stream().map(v -> v.text("")).collect(Collectors.toList());
    }
}
