package org.elmline.daemon.gateway;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.Optional;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;
import org.elmline.wire.tcp.PeerKey;

/**
 * What an entry states, in two headers, in a request that another entry is to forward: for which server it is, and a
 * proof that the sender knows the peer key. The proof covers the statement and the path of the request.
 *
 * @param nonRepeatable whether the request must not be sent again once it may have run
 */
record RelayRequest(BackendTarget target, RequestPurpose purpose, boolean nonRepeatable) {
    /** Set in the answer to a request that was not forwarded; the value is a {@link RelayRefusal}. */
    static final HttpString REFUSAL = new HttpString("Elmline-Relay-Refusal");

    /** Set in the answer to a request that was forwarded and whose server gave no answer: it may have run. */
    static final HttpString NO_ANSWER = new HttpString("Elmline-Relay-No-Answer");

    private static final HttpString TARGET = new HttpString("Elmline-Relay-Target");
    private static final HttpString PROOF = new HttpString("Elmline-Relay-Proof");
    private static final String PROOF_PURPOSE = "relay";
    private static final int PART_COUNT = 4;

    /** Adds the headers to those of a request. */
    void writeTo(HeaderMap headers, String path, PeerKey key) {
        String text = target.server() + " " + target.address() + " " + purpose + " " + nonRepeatable;
        headers.put(TARGET, text);
        headers.put(PROOF, HexFormat.of().formatHex(key.sign(PROOF_PURPOSE, bytes(text), bytes(path))));
    }

    /** Reads the headers of a request; empty if they are missing or malformed, or the proof is wrong. */
    static Optional<RelayRequest> read(HeaderMap headers, String path, PeerKey key) {
        String text = headers.getFirst(TARGET);
        String proof = headers.getFirst(PROOF);
        if (text == null || proof == null) {
            return Optional.empty();
        }
        try {
            boolean proven = key.verify(
                    PROOF_PURPOSE, bytes(text), bytes(path), HexFormat.of().parseHex(proof));
            String[] parts = text.split(" ");
            if (!proven || parts.length != PART_COUNT) {
                return Optional.empty();
            }
            BackendTarget target = new BackendTarget(BackendServerId.of(parts[0]), Address.parse(parts[1]));
            return Optional.of(
                    new RelayRequest(target, RequestPurpose.valueOf(parts[2]), Boolean.parseBoolean(parts[3])));
        } catch (IllegalArgumentException e) {
            // Malformed: the caller of this method logs the refusal.
            return Optional.empty();
        }
    }

    /** Removes the headers, which are not meant for the server. */
    static void removeFrom(HeaderMap headers) {
        headers.remove(TARGET);
        headers.remove(PROOF);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
