package org.crocusturn.core.callers;

import java.math.BigDecimal;
import java.util.Objects;

/** A parameter of a statement or a value in a row. */
public sealed interface SqlValue {
    /** The SQL null. */
    record NullValue() implements SqlValue {
        /** The shared instance. */
        public static final NullValue INSTANCE = new NullValue();
    }

    /** A Boolean value. */
    record BooleanValue(boolean value) implements SqlValue {}

    /** A signed 64-bit integer. */
    record IntegerValue(long value) implements SqlValue {}

    /** A decimal number of arbitrary precision. */
    record DecimalValue(BigDecimal value) implements SqlValue {
        /** Checks that the value is not null. */
        public DecimalValue {
            Objects.requireNonNull(value, "value");
        }
    }

    /** A string. Dates and times are represented as strings in ISO 8601 format. */
    record TextValue(String value) implements SqlValue {
        /** Checks that the value is not null. */
        public TextValue {
            Objects.requireNonNull(value, "value");
        }
    }
}
