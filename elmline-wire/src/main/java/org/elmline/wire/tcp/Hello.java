package org.elmline.wire.tcp;

/**
 * First frame of each side. Each side supports a range of protocol versions, so that two releases find one in common.
 *
 * @param magic {@link #MAGIC}; any other value means that the peer is not an elmline process
 * @param nonce {@link #NONCE_BYTES} random bytes that the other side must sign
 */
record Hello(String magic, int minVersion, int maxVersion, byte[] nonce) {
    static final String MAGIC = "elmline";
    static final int MIN_VERSION = 1;
    static final int MAX_VERSION = 1;
    static final int NONCE_BYTES = 16;

    /** The highest version that both sides support, or 0 when there is none. */
    static int commonVersion(Hello a, Hello b) {
        int highest = Math.min(a.maxVersion, b.maxVersion);
        return highest >= Math.max(a.minVersion, b.minVersion) ? highest : 0;
    }
}
