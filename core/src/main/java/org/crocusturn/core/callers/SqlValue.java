package org.crocusturn.core.callers;

import java.math.BigDecimal;
import java.util.Objects;

/** Is a parameter of a statement or a value of a row. */
public sealed interface SqlValue {
    /** The SQL null. */
    record NullValue() implements SqlValue {
        /** The only instance that is needed. */
        public static final NullValue INSTANCE = new NullValue();
    }

    /** A truth value. */
    record BooleanValue(boolean value) implements SqlValue {}

    /** A whole number of 64 bits. */
    record IntegerValue(long value) implements SqlValue {}

    /** A decimal number of any precision. */
    record DecimalValue(BigDecimal value) implements SqlValue {
        /** Checks that the value is not null. */
        public DecimalValue {
            Objects.requireNonNull(value, "value");
        }
    }

    /** A text; dates and times travel as text in ISO 8601. */
    record TextValue(String value) implements SqlValue {
        /** Checks that the value is not null. */
        public TextValue {
            Objects.requireNonNull(value, "value");
        }
    }
}
