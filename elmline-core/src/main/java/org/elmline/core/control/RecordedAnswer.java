package org.elmline.core.control;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;

/**
 * A service's answer as kept with its claim, for a repeat to get.
 *
 * @param headers the headers a repeat needs, for example Content-Type and Location
 * @param body the body; null when it was longer than the limit
 * @param bodyDigest SHA-256 of the whole body
 */
public record RecordedAnswer(int status, List<Header> headers, byte[] body, String bodyDigest) {
    public RecordedAnswer {
        headers = headers == null ? List.of() : List.copyOf(headers);
    }

    public static RecordedAnswer of(int status, List<Header> headers, byte[] body) {
        return new RecordedAnswer(status, headers, body, Sha256.hex(body));
    }

    /** One header field of an answer. */
    public record Header(String name, String value) {}

    /** This answer within a limit: a body over it is left out, and headers that don't fit besides it are too. */
    RecordedAnswer truncatedTo(int bodyBytes) {
        boolean fits = body == null || body.length <= bodyBytes;
        int headerBytes = 0;
        for (Header each : headers) {
            headerBytes += each.name().length() + each.value().length();
        }
        boolean headersFit = headerBytes <= bodyBytes;
        if (fits && headersFit) {
            return this;
        }
        return new RecordedAnswer(status, headersFit ? headers : List.of(), fits ? body : null, bodyDigest);
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
