package org.elmline.bench.control;

/**
 * Bytes and processor time of lease renewals.
 *
 * @param entries number of entry hosts
 * @param requestBytes bytes of a renewal
 * @param idleBytes bytes of an answer when nothing changed
 * @param objectBytes bytes of an answer with one changed backend role
 * @param memberBytes bytes of an answer with one changed host
 * @param joinBytes bytes of an answer with all hosts and all objects
 * @param renewMicros microseconds that the leader spends on an idle renewal, decoding and encoding included
 */
public record LeaseCost(
        int entries,
        int requestBytes,
        int idleBytes,
        int objectBytes,
        int memberBytes,
        int joinBytes,
        Spread renewMicros) {}
