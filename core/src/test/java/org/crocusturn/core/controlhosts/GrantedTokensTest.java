package org.crocusturn.core.controlhosts;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.stream.Collectors;
import org.crocusturn.core.WorkspaceId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a split of tokens among groups that creates or loses tokens. */
class GrantedTokensTest {
    @ParameterizedTest
    @CsvSource({
        "10, 1 1, 5 5",
        "10, 3 0 1, 8 0 2",
        "7, 0 0, 0 7",
        "1, 1 1 1, 0 1 0",
        "0, 2 2, 0 0"
    })
    void splitsAllTokens(long tokens, String wanted, String parts) {
        GrantedTokens grant = new GrantedTokens(WorkspaceId.of("w"), tokens, 9);
        assertEquals(
                parts,
                grant.split(Arrays.stream(wanted.split(" ")).map(Long::valueOf).toList()).stream()
                        .map(p -> Long.toString(p.tokens()))
                        .collect(Collectors.joining(" ")));
    }
}
