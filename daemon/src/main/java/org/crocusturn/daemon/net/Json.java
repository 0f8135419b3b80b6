package org.crocusturn.daemon.net;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.cfg.JsonNodeFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.ErrorCode;

/** Reads and writes JSON under the limits shared by all interfaces. */
public final class Json {
    /** Maximum nesting depth, so that a hostile body cannot overflow the stack. */
    private static final int MAX_DEPTH = 32;

    private static final JsonMapper MAPPER =
            JsonMapper.builder(
                            com.fasterxml.jackson.core.JsonFactory.builder()
                                    .streamReadConstraints(
                                            StreamReadConstraints.builder()
                                                    .maxNestingDepth(MAX_DEPTH)
                                                    .build())
                                    .enable(
                                            com.fasterxml.jackson.core.StreamReadFeature
                                                    .STRICT_DUPLICATE_DETECTION)
                                    .build())
                    .enable(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .disable(JsonNodeFeature.STRIP_TRAILING_BIGDECIMAL_ZEROES)
                    .build();

    private Json() {}

    /** Returns a new object. */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /**
     * Parses a value.
     *
     * @throws CrocusturnException if the bytes are not valid JSON; the message has the location of
     *     the error but no content
     */
    public static JsonNode read(byte[] bytes) {
        try {
            JsonNode node = MAPPER.readTree(bytes);
            if (node == null || node.isMissingNode()) {
                throw malformed("the body is empty");
            }
            return node;
        } catch (JsonProcessingException e) {
            throw malformed(
                    "the body is not valid JSON"
                            + (e.getLocation() == null
                                    ? ""
                                    : " at line "
                                            + e.getLocation().getLineNr()
                                            + ", column "
                                            + e.getLocation().getColumnNr()));
        } catch (IOException e) {
            throw malformed("the body cannot be read");
        } catch (NumberFormatException e) {
            // The parser does not translate the exception of an exponent beyond 32 bits.
            throw malformed("the body contains a number that is out of range");
        } catch (StackOverflowError e) {
            throw malformed("the body is nested too deeply");
        }
    }

    /** Serializes a value. */
    public static byte[] write(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("failed to serialize a JSON tree", e);
        }
    }

    private static CrocusturnException malformed(String message) {
        return CrocusturnException.notRun(ErrorCode.MALFORMED_REQUEST, message);
    }
}
