package org.elmline.daemon.http;

import org.elmline.core.common.Refusal;

/** JSON body of every answer that reports an error. */
public record ErrorBody(Detail error) {
    /**
     * @param ran {@code no}, {@code yes} or {@code unknown}: whether the call ran on a backend server
     * @param retryAfterMs milliseconds after which a retry may succeed; 0 when a retry won't help
     */
    public record Detail(String type, String message, String ran, long retryAfterMs) {}

    public static ErrorBody of(Refusal refusal) {
        return new ErrorBody(new Detail(
                refusal.reason().errorType(), refusal.message(), refusal.ran().wireName(), refusal.retryAfterMillis()));
    }
}
