package org.elmline.wire.tcp;

/**
 * First frame of each side. The versions each side speaks are a range, so that two releases find one in common.
 *
 * @param magic {@link #MAGIC}; anything else is not an elmline process
 * @param nonce random bytes that the other side must sign
 */
record Hello(String magic, int minVersion, int maxVersion, byte[] nonce) {
    static final String MAGIC = "elmline";
    static final int MIN_VERSION = 1;
    static final int MAX_VERSION = 1;
    static final int NONCE_BYTES = 16;

    /** The highest version that both sides speak, or 0 when there is none. */
    static int commonVersion(Hello a, Hello b) {
        int highest = Math.min(a.maxVersion, b.maxVersion);
        return highest >= Math.max(a.minVersion, b.minVersion) ? highest : 0;
    }
}
