package org.crocusturn.models;

import static org.junit.jupiter.api.Assertions.assertEquals;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.parser.CompModule;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against an Alloy tool that accepts every assertion, which would make all checks pass. */
class AlloyToolTest {
    @ParameterizedTest
    @CsvSource({"a in a, false", "no Thing, true"})
    void refutesOnlyFalseAssertions(String assertion, boolean refuted) throws Exception {
        String text = "sig Thing {}\ncheck { all a: Thing | " + assertion + " } for 3";
        CompModule module = CompUtil.parseEverything_fromString(A4Reporter.NOP, text);
        boolean found =
                TranslateAlloyToKodkod.execute_command(
                                A4Reporter.NOP,
                                module.getAllReachableSigs(),
                                module.getAllCommands().get(0),
                                new A4Options())
                        .satisfiable();
        assertEquals(refuted, found);
    }
}
