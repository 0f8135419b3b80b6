package org.crocusturn.standin.bench;

import java.io.PrintStream;

/** x. */
final class Footprint {
    private Footprint() {}

    static void print(PrintStream out) {}
}
