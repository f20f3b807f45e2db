package org.elmline.core.control;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import org.elmline.core.common.OrganisationId;

/**
 * Identifies one call that may run at most once, as {@code <issue time>-<random>-<check>}: milliseconds since 1970 in
 * base 36, 8 to 32 random letters or digits, and the first 10 hexadecimal digits of the SHA-256 of {@code
 * <organisation>/<issue time>-<random>}. Lower case throughout.
 *
 * <p>The key contains its issue time because a claim can't be kept indefinitely: a key without one, used again after
 * its claim was dropped, would look new and run the call a second time. The checksum detects a key that was mistyped,
 * truncated or made for another organisation; it is no secret.
 */
public final class IdempotencyKey implements Comparable<IdempotencyKey> {
    private static final Pattern FORMAT = Pattern.compile("([0-9a-z]{1,11})-([0-9a-z]{8,32})-([0-9a-f]{10})");
    private static final int RADIX = 36;
    private static final int RANDOM_LENGTH = 16;
    private static final int CHECKSUM_LENGTH = 10;

    private final String value;
    private final long issuedMillis;

    private IdempotencyKey(String value, long issuedMillis) {
        this.value = value;
        this.issuedMillis = issuedMillis;
    }

    /**
     * Issues a new key for an organisation.
     *
     * @param wallMillis wall clock of the issue, in milliseconds since 1970
     */
    public static IdempotencyKey issue(OrganisationId organisation, long wallMillis, RandomGenerator random) {
        StringBuilder body = new StringBuilder(Long.toString(wallMillis, RADIX)).append('-');
        for (int i = 0; i < RANDOM_LENGTH; i++) {
            body.append(Character.forDigit(random.nextInt(RADIX), RADIX));
        }
        return new IdempotencyKey(body + "-" + checksum(organisation, body.toString()), wallMillis);
    }

    /** Parses a key; empty when the text is null or malformed. */
    public static Optional<IdempotencyKey> parse(String text) {
        Matcher matcher = FORMAT.matcher(text == null ? "" : text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        return Optional.of(new IdempotencyKey(text, Long.parseLong(matcher.group(1), RADIX)));
    }

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static IdempotencyKey of(String text) {
        return parse(text).orElseThrow(() -> new IllegalArgumentException("not an idempotency key"));
    }

    /** Whether the checksum was computed for this organisation. */
    public boolean belongsTo(OrganisationId organisation) {
        int end = value.length() - CHECKSUM_LENGTH;
        return value.substring(end).equals(checksum(organisation, value.substring(0, end - 1)));
    }

    @JsonValue
    public String value() {
        return value;
    }

    /** Wall clock of the issuer at the issue, in milliseconds since 1970. */
    public long issuedMillis() {
        return issuedMillis;
    }

    @Override
    public int compareTo(IdempotencyKey other) {
        int byIssue = Long.compare(issuedMillis, other.issuedMillis);
        return byIssue != 0 ? byIssue : value.compareTo(other.value);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof IdempotencyKey key && key.value.equals(value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public String toString() {
        return value;
    }

    private static String checksum(OrganisationId organisation, String body) {
        String checkedText = organisation + "/" + body;
        return Sha256.hex(checkedText.getBytes(StandardCharsets.UTF_8)).substring(0, CHECKSUM_LENGTH);
    }
}
