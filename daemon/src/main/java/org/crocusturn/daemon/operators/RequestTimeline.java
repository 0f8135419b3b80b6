package org.crocusturn.daemon.operators;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Reconstructs the timeline of one request from the logs of all processes: the lines that contain
 * its id, the system state that the processes had logged before it started, and later changes.
 *
 * <p>Times come from the clock of each process, so the order of lines of different hosts is only as
 * exact as their clocks.
 */
final class RequestTimeline {
    /** Period before the first line of a request in which changes may have affected it. */
    private static final Duration LOOKBACK = Duration.ofSeconds(2);

    private static final Pattern GROUP_NAME = Pattern.compile(" of (\\S+/\\S+) for ");

    /** Lines about the state of the whole system; the newest line of each kind is current. */
    private static final List<Pattern> SYSTEM_STATE =
            List.of(
                    Pattern.compile("leads (in )?term \\d+"),
                    Pattern.compile("configuration \\d+ is acknowledged"),
                    Pattern.compile("is not the leader any more"),
                    Pattern.compile("endpoint \\S+ is (up|down)"),
                    Pattern.compile("link to \\S+ is (open|closed)"),
                    Pattern.compile("phase \\S+ follows"));

    /** Lines about the state of a group; the newest line of each kind that names it is current. */
    private static final List<Pattern> GROUP_STATE =
            List.of(
                    Pattern.compile("lease of group"),
                    Pattern.compile("epoch \\d+ is (held|closed)"),
                    Pattern.compile("epoch \\d+ closes its connections"),
                    Pattern.compile("has primary"),
                    Pattern.compile("(needs another|moves its|looks for its) primary"),
                    Pattern.compile("(orders|ordered) "));

    private RequestTimeline() {}

    /** Log line with its relation to the request. */
    private record Entry(String kind, LogLine line) {
        private String text(Instant start) {
            double seconds = Duration.between(start, line.time()).toNanos() / 1e9;
            return String.format(
                    Locale.ROOT,
                    "%+9.3f s %s %s %s",
                    seconds,
                    kind,
                    line.process(),
                    line.message());
        }
    }

    /**
     * Returns the lines of the timeline in order of time; empty if no line contains the id.
     *
     * @param lines lines of all logs, in any order
     * @param id id of a statement, as chosen by the caller
     */
    static List<String> of(List<LogLine> lines, String id) {
        Pattern idPattern = Pattern.compile("\\b" + Pattern.quote(id) + "\\b");
        List<LogLine> requestLines =
                sorted(lines.stream().filter(l -> idPattern.matcher(l.message()).find()));
        if (requestLines.isEmpty()) {
            return List.of();
        }
        Instant start = requestLines.get(0).time();
        Instant end = requestLines.get(requestLines.size() - 1).time();
        Set<String> groups =
                requestLines.stream()
                        .flatMap(l -> GROUP_NAME.matcher(l.message()).results())
                        .map((MatchResult m) -> m.group(1))
                        .collect(Collectors.toSet());
        List<LogLine> stateLines = sorted(lines.stream().filter(l -> isStateLine(l, groups)));
        Instant lookbackStart = start.minus(LOOKBACK);
        Stream<LogLine> initialState =
                Stream.concat(SYSTEM_STATE.stream(), GROUP_STATE.stream())
                        .flatMap(
                                p ->
                                        newest(stateLines, p, l -> l.time().isBefore(lookbackStart))
                                                .stream());
        Stream<LogLine> stateChanges =
                stateLines.stream()
                        .filter(l -> !l.time().isBefore(lookbackStart) && !l.time().isAfter(end));
        return Stream.of(
                        initialState.distinct().map(l -> new Entry("known  ", l)),
                        stateChanges.map(l -> new Entry("changed", l)),
                        requestLines.stream().map(l -> new Entry("request", l)))
                .flatMap(s -> s)
                .sorted(Comparator.comparing(e -> e.line().time()))
                .map(e -> e.text(start))
                .toList();
    }

    private static List<LogLine> sorted(Stream<LogLine> lines) {
        return lines.sorted(Comparator.comparing(LogLine::time)).toList();
    }

    private static boolean isStateLine(LogLine line, Set<String> groups) {
        boolean matchesSystem =
                SYSTEM_STATE.stream().anyMatch(p -> p.matcher(line.message()).find());
        boolean namesGroup = groups.stream().anyMatch(line.message()::contains);
        return matchesSystem
                || namesGroup
                        && GROUP_STATE.stream().anyMatch(p -> p.matcher(line.message()).find());
    }

    private static Optional<LogLine> newest(
            List<LogLine> sorted, Pattern kind, Predicate<LogLine> condition) {
        return sorted.stream()
                .filter(condition)
                .filter(l -> kind.matcher(l.message()).find())
                .reduce((first, second) -> second);
    }
}
