package org.crocusturn.standin.measure;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/** Aggregates lists of {@link Sample}. */
final class Samples {
    private Samples() {}

    static long count(List<Sample> samples, Predicate<Sample> condition) {
        return samples.stream().filter(condition).count();
    }

    /** Returns the number of occurrences of each failure, most frequent first. */
    static String describeFailures(List<Sample> samples) {
        Map<String, Long> counts =
                samples.stream()
                        .filter(s -> !s.succeeded())
                        .collect(
                                Collectors.groupingBy(
                                        s -> s.status() + " " + s.code() + " " + s.verdict(),
                                        TreeMap::new,
                                        Collectors.counting()));
        return counts.entrySet().stream()
                .sorted(Map.Entry.comparingByValue(Comparator.reverseOrder()))
                .map(e -> e.getKey().strip() + ": " + e.getValue())
                .collect(Collectors.joining(", ", "failures {", "}"));
    }
}
