package org.elmline.core.control;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;

/**
 * A service's answer as kept with its claim and returned for a repeat.
 *
 * @param headers the headers that a repeat needs, for example Content-Type and Location
 * @param body the body; null when it was longer than the limit
 * @param bodyDigest SHA-256 of the whole body, in lower-case hexadecimal
 */
public record RecordedAnswer(int status, List<Header> headers, byte[] body, String bodyDigest) {
    public RecordedAnswer {
        headers = headers == null ? List.of() : List.copyOf(headers);
    }

    public static RecordedAnswer of(int status, List<Header> headers, byte[] body) {
        return new RecordedAnswer(status, headers, body, Sha256.hex(body));
    }

    /** One header field of an answer. */
    public record Header(String name, String value) {
        public Header {
            if (name == null || value == null) {
                throw new IllegalArgumentException("a header needs name and value");
            }
        }
    }

    /**
     * Returns this answer reduced to a limit: a longer body is dropped, and so are all headers when their total length
     * exceeds the same limit.
     */
    RecordedAnswer truncatedTo(int maxBytes) {
        boolean bodyFits = body == null || body.length <= maxBytes;
        int headerBytes = 0;
        for (Header each : headers) {
            headerBytes += each.name().length() + each.value().length();
        }
        boolean headersFit = headerBytes <= maxBytes;
        if (bodyFits && headersFit) {
            return this;
        }
        return new RecordedAnswer(status, headersFit ? headers : List.of(), bodyFits ? body : null, bodyDigest);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof RecordedAnswer answer
                && status == answer.status
                && headers.equals(answer.headers)
                && Arrays.equals(body, answer.body)
                && Objects.equals(bodyDigest, answer.bodyDigest);
    }

    @Override
    public int hashCode() {
        return Objects.hash(status, headers, Arrays.hashCode(body), bodyDigest);
    }
}
