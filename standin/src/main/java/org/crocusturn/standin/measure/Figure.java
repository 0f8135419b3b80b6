package org.crocusturn.standin.measure;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import org.crocusturn.daemon.net.Json;

/**
 * Is one measured value with its target and its baseline of the same run.
 *
 * @param name what was measured
 * @param value the value
 * @param unit unit of the value
 * @param target target, if there is one
 * @param baseline value to compare with, with what it is, if there is one
 */
public record Figure(
        String name,
        double value,
        String unit,
        Optional<Target> target,
        Optional<Baseline> baseline) {
    /** Is the limit of a value. */
    public record Target(double limit, boolean isMaximum) {
        /** Returns whether a value meets the target; a value that is not a number does not. */
        public boolean isMetBy(double value) {
            return isMaximum ? value <= limit : value >= limit;
        }

        @Override
        public String toString() {
            return (isMaximum ? "at most " : "at least ") + format(limit);
        }
    }

    /** Is a value of the same run to compare with. */
    public record Baseline(String description, double value) {}

    /** Checks that no part is null. */
    public Figure {
        Objects.requireNonNull(name, "measure");
        Objects.requireNonNull(unit, "unit");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(baseline, "baseline");
    }

    /** Creates a figure without target and baseline. */
    public static Figure of(String name, double value, String unit) {
        return new Figure(name, value, unit, Optional.empty(), Optional.empty());
    }

    /** Returns a copy whose value must not exceed a limit. */
    public Figure withMaximum(double limit) {
        return new Figure(name, value, unit, Optional.of(new Target(limit, true)), baseline);
    }

    /** Returns a copy whose value must reach a limit. */
    public Figure withMinimum(double limit) {
        return new Figure(name, value, unit, Optional.of(new Target(limit, false)), baseline);
    }

    /** Returns a copy with a baseline. */
    public Figure withBaseline(String description, double baselineValue) {
        return new Figure(
                name, value, unit, target, Optional.of(new Baseline(description, baselineValue)));
    }

    /** Returns whether the target is met; true without a target. */
    public boolean passed() {
        return target.map(t -> t.isMetBy(value)).orElse(true);
    }

    /** Returns the figure as JSON. */
    public ObjectNode toJson() {
        ObjectNode node = Json.object().put("measure", name).put("value", value).put("unit", unit);
        target.ifPresent(t -> node.put("target", t.toString()).put("passed", passed()));
        baseline.ifPresent(b -> node.put("baseline", b.value()).put("baselineOf", b.description()));
        return node;
    }

    @Override
    public String toString() {
        return name
                + ": "
                + format(value)
                + " "
                + unit
                + target.map(t -> "; target " + t + ": " + (passed() ? "pass" : "FAIL")).orElse("")
                + baseline.map(
                                b ->
                                        "; baseline "
                                                + format(b.value())
                                                + " ("
                                                + b.description()
                                                + ")")
                        .orElse("");
    }

    private static String format(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : String.format(Locale.ROOT, "%.3f", value);
    }
}
