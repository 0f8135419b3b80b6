package org.crocusturn.standin.measure;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import org.crocusturn.daemon.net.Json;

/**
 * A measured value with an optional target and an optional baseline from the same run.
 *
 * @param name name of the measured quantity
 * @param value measured value
 * @param unit unit of the value
 * @param target limit that the value has to meet, if any
 * @param baseline value of the same run to compare with, if any
 */
public record Figure(
        String name,
        double value,
        String unit,
        Optional<Target> target,
        Optional<Baseline> baseline) {
    /** An upper or lower limit of a value. */
    public record Target(double limit, boolean isMaximum) {
        /** Returns whether a value meets the target; {@link Double#NaN} never does. */
        public boolean isMetBy(double value) {
            return isMaximum ? value <= limit : value >= limit;
        }

        @Override
        public String toString() {
            return (isMaximum ? "at most " : "at least ") + format(limit);
        }
    }

    /** A value of the same run to compare with. */
    public record Baseline(String description, double value) {}

    /** Validates that no component is null. */
    public Figure {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(unit, "unit");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(baseline, "baseline");
    }

    /** Creates a figure without a target or a baseline. */
    public static Figure of(String name, double value, String unit) {
        return new Figure(name, value, unit, Optional.empty(), Optional.empty());
    }

    /** Returns a copy with an upper limit as its target. */
    public Figure withMaximum(double limit) {
        return new Figure(name, value, unit, Optional.of(new Target(limit, true)), baseline);
    }

    /** Returns a copy with a lower limit as its target. */
    public Figure withMinimum(double limit) {
        return new Figure(name, value, unit, Optional.of(new Target(limit, false)), baseline);
    }

    /** Returns a copy with a baseline. */
    public Figure withBaseline(String description, double baselineValue) {
        return new Figure(
                name, value, unit, target, Optional.of(new Baseline(description, baselineValue)));
    }

    /** Returns whether the value meets the target; true if there is none. */
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
