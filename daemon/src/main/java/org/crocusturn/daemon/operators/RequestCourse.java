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
 * Tells the course of one request from the logs of all processes: the lines that name it, what the
 * processes believed when it began, and what changed meanwhile.
 *
 * <p>Times are those of each process, so lines of different hosts may be out of order by as much as
 * their clocks differ.
 */
final class RequestCourse {
    /** Changes that came this long before the first line of a request may have decided it. */
    private static final Duration BEFORE = Duration.ofSeconds(2);

    private static final Pattern GROUP = Pattern.compile(" of (\\S+/\\S+) for ");

    /** Beliefs of the whole system, each told by the newest line of its kind. */
    private static final List<Pattern> SYSTEM =
            List.of(
                    Pattern.compile("leads (in )?term \\d+"),
                    Pattern.compile("configuration \\d+ is acknowledged"),
                    Pattern.compile("is not the leader any more"),
                    Pattern.compile("endpoint \\S+ is (up|down)"),
                    Pattern.compile("link to \\S+ is (open|closed)"),
                    Pattern.compile("phase \\S+ follows"));

    /** Beliefs about one group, each told by the newest line of its kind that names the group. */
    private static final List<Pattern> OF_GROUP =
            List.of(
                    Pattern.compile("lease of group"),
                    Pattern.compile("epoch \\d+ is (held|closed)"),
                    Pattern.compile("epoch \\d+ closes its connections"),
                    Pattern.compile("has primary"),
                    Pattern.compile("(needs another|moves its|looks for its) primary"),
                    Pattern.compile("(orders|ordered) "));

    private RequestCourse() {}

    /** Is a line of a log with what it tells about the request. */
    private record Entry(String what, LogLine line) {
        private String text(Instant start) {
            double seconds = Duration.between(start, line.time()).toNanos() / 1e9;
            return String.format(
                    Locale.ROOT,
                    "%+9.3f s %s %s %s",
                    seconds,
                    what,
                    line.process(),
                    line.message());
        }
    }

    /**
     * Returns the lines of the course in order of time, empty if no line names the request.
     *
     * @param lines lines of all logs in any order
     * @param id id of a statement, as the caller chose it
     */
    static List<String> of(List<LogLine> lines, String id) {
        Pattern word = Pattern.compile("\\b" + Pattern.quote(id) + "\\b");
        List<LogLine> own = sorted(lines.stream().filter(l -> word.matcher(l.message()).find()));
        if (own.isEmpty()) {
            return List.of();
        }
        Instant start = own.get(0).time();
        Instant end = own.get(own.size() - 1).time();
        Set<String> groups =
                own.stream()
                        .flatMap(l -> GROUP.matcher(l.message()).results())
                        .map((MatchResult m) -> m.group(1))
                        .collect(Collectors.toSet());
        List<LogLine> beliefs = sorted(lines.stream().filter(l -> isBelief(l, groups)));
        Instant change = start.minus(BEFORE);
        Stream<LogLine> known =
                Stream.concat(SYSTEM.stream(), OF_GROUP.stream())
                        .flatMap(p -> newest(beliefs, p, l -> l.time().isBefore(change)).stream());
        Stream<LogLine> changed =
                beliefs.stream().filter(l -> !l.time().isBefore(change) && !l.time().isAfter(end));
        return Stream.of(
                        known.distinct().map(l -> new Entry("known  ", l)),
                        changed.map(l -> new Entry("changed", l)),
                        own.stream().map(l -> new Entry("request", l)))
                .flatMap(s -> s)
                .sorted(Comparator.comparing(e -> e.line().time()))
                .map(e -> e.text(start))
                .toList();
    }

    private static List<LogLine> sorted(Stream<LogLine> lines) {
        return lines.sorted(Comparator.comparing(LogLine::time)).toList();
    }

    private static boolean isBelief(LogLine line, Set<String> groups) {
        boolean system = SYSTEM.stream().anyMatch(p -> p.matcher(line.message()).find());
        boolean named = groups.stream().anyMatch(line.message()::contains);
        return system || named && OF_GROUP.stream().anyMatch(p -> p.matcher(line.message()).find());
    }

    private static Optional<LogLine> newest(
            List<LogLine> sorted, Pattern kind, Predicate<LogLine> when) {
        return sorted.stream()
                .filter(when)
                .filter(l -> kind.matcher(l.message()).find())
                .reduce((first, second) -> second);
    }
}
