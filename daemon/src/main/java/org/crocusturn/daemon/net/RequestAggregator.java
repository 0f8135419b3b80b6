package org.crocusturn.daemon.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.ring.ByteBudget;

/**
 * Aggregates the parts of one request and enforces its limits.
 *
 * <p>Confined to the event loop of the connection.
 */
final class RequestAggregator {
    /** Headers that must not be repeated, because recipients could pick different values. */
    private static final Set<String> SINGLE_VALUE_HEADERS =
            Set.of(
                    "authorization",
                    "content-length",
                    "content-type",
                    "crocusturn-session",
                    "expect",
                    "host",
                    "transfer-encoding");

    /** Approximate size in memory of a request without its texts and body, in bytes. */
    private static final long REQUEST_OBJECT_BYTES = 1_024;

    /** The only transfer encoding; HttpUtil accepts lists that contain it, such as "x, chunked". */
    private static final String CHUNKED = "chunked";

    private final int mMaxBodyBytes;
    private final HttpRequest mHead;
    private final Map<String, String> mHeaders;
    private final ByteBuf mBody;
    private final RequestMemory mMemory;

    private RequestAggregator(
            int maxBodyBytes,
            HttpRequest head,
            Map<String, String> headers,
            ByteBuf body,
            RequestMemory memory) {
        mMaxBodyBytes = maxBodyBytes;
        mHead = head;
        mHeaders = headers;
        mBody = body;
        mMemory = memory;
    }

    /**
     * Starts a request with its request line and headers. The memory for an announced body is
     * reserved before the body is read.
     *
     * @throws CrocusturnException if they are malformed or announce a body that is too large, or if
     *     the requests in progress take all memory that is meant for them
     */
    static RequestAggregator begin(
            HttpRequest head, int maxBodyBytes, ByteBufAllocator allocator, ByteBudget budget) {
        if (!head.protocolVersion().equals(HttpVersion.HTTP_1_1)
                && !head.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            throw malformed("the protocol is not HTTP/1.1");
        }
        Map<String, String> headers = headers(head);
        String encoding = headers.getOrDefault("transfer-encoding", CHUNKED);
        if (!encoding.equalsIgnoreCase(CHUNKED)) {
            throw malformed("the transfer encoding is not supported");
        }
        if (HttpUtil.getContentLength(head, 0L) > maxBodyBytes) {
            throw tooLarge(maxBodyBytes);
        }
        RequestMemory memory = RequestMemory.reserve(budget, size(head, headers));
        return new RequestAggregator(
                maxBodyBytes, head, headers, allocator.buffer(0, maxBodyBytes), memory);
    }

    private static long size(HttpRequest head, Map<String, String> headers) {
        long texts =
                headers.entrySet().stream()
                        .mapToLong(e -> (long) e.getKey().length() + e.getValue().length())
                        .sum();
        return REQUEST_OBJECT_BYTES
                + head.uri().length()
                + texts
                + HttpUtil.getContentLength(head, 0L);
    }

    /**
     * Appends a part of the body. The part is copied, because parts of a single byte would
     * otherwise each retain a whole read buffer.
     *
     * @throws CrocusturnException if the body is too large
     */
    void append(ByteBuf part) {
        if (part.readableBytes() > mMaxBodyBytes - mBody.readableBytes()) {
            throw tooLarge(mMaxBodyBytes);
        }
        if (HttpUtil.isTransferEncodingChunked(mHead)) {
            mMemory.extend(part.readableBytes());
        }
        mBody.writeBytes(part);
    }

    /** Returns the reserved memory, which whoever handles the request releases. */
    RequestMemory memory() {
        return mMemory;
    }

    boolean expectsContinue() {
        return HttpUtil.is100ContinueExpected(mHead);
    }

    /** Returns whether the connection stays open after the request. */
    boolean keepAlive() {
        return HttpUtil.isKeepAlive(mHead) && mHead.protocolVersion().equals(HttpVersion.HTTP_1_1);
    }

    /** Returns the complete request and releases the buffer, but not the reserved memory. */
    org.crocusturn.daemon.net.HttpRequest finish() {
        byte[] body = new byte[mBody.readableBytes()];
        mBody.readBytes(body);
        mBody.release();
        return new org.crocusturn.daemon.net.HttpRequest(
                mHead.method().name(), mHead.uri(), mHeaders, body);
    }

    /** Discards the request and releases its memory. */
    void discard() {
        mBody.release();
        mMemory.release();
    }

    private static Map<String, String> headers(HttpRequest head) {
        Map<String, String> headers = new HashMap<>();
        for (Map.Entry<String, String> header : head.headers()) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (headers.put(name, header.getValue()) != null
                    && SINGLE_VALUE_HEADERS.contains(name)) {
                throw malformed("header " + name + " is repeated");
            }
        }
        if (!headers.containsKey(HttpHeaderNames.HOST.toString())
                && head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
            throw malformed("header host is missing");
        }
        return headers;
    }

    private static CrocusturnException malformed(String message) {
        return CrocusturnException.notRun(ErrorCode.MALFORMED_REQUEST, message);
    }

    private static CrocusturnException tooLarge(int maxBodyBytes) {
        return CrocusturnException.notRun(
                ErrorCode.TOO_LARGE, "the body is longer than " + maxBodyBytes + " bytes");
    }
}
