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

    private final int mMaxBodyBytes;
    private final HttpRequest mHead;
    private final Map<String, String> mHeaders;
    private final ByteBuf mBody;

    private RequestAggregator(
            int maxBodyBytes, HttpRequest head, Map<String, String> headers, ByteBuf body) {
        mMaxBodyBytes = maxBodyBytes;
        mHead = head;
        mHeaders = headers;
        mBody = body;
    }

    /**
     * Starts a request with its request line and headers.
     *
     * @throws CrocusturnException if they are malformed or announce a body that is too large
     */
    static RequestAggregator begin(HttpRequest head, int maxBodyBytes, ByteBufAllocator allocator) {
        if (!head.protocolVersion().equals(HttpVersion.HTTP_1_1)
                && !head.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            throw malformed("the protocol is not HTTP/1.1");
        }
        Map<String, String> headers = headers(head);
        if (headers.containsKey("transfer-encoding") && !HttpUtil.isTransferEncodingChunked(head)) {
            throw malformed("the transfer encoding is not supported");
        }
        if (HttpUtil.getContentLength(head, 0L) > maxBodyBytes) {
            throw tooLarge(maxBodyBytes);
        }
        return new RequestAggregator(
                maxBodyBytes, head, headers, allocator.buffer(0, maxBodyBytes));
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
        mBody.writeBytes(part);
    }

    boolean expectsContinue() {
        return HttpUtil.is100ContinueExpected(mHead);
    }

    /** Returns whether the connection stays open after the request. */
    boolean keepAlive() {
        return HttpUtil.isKeepAlive(mHead) && mHead.protocolVersion().equals(HttpVersion.HTTP_1_1);
    }

    /** Returns the complete request and releases the buffer. */
    org.crocusturn.daemon.net.HttpRequest finish() {
        byte[] body = new byte[mBody.readableBytes()];
        mBody.readBytes(body);
        release();
        return new org.crocusturn.daemon.net.HttpRequest(
                mHead.method().name(), mHead.uri(), mHeaders, body);
    }

    void release() {
        mBody.release();
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
