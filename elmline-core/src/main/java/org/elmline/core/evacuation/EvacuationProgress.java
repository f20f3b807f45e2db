package org.elmline.core.evacuation;

/**
 * What an entry reports with its polls on evacuations.
 *
 * @param seen version that the entry holds, 0 for none; null where the entry follows no evacuations
 * @param calls calls that the entry still runs on evacuated servers; null where it follows no evacuations
 */
public record EvacuationProgress(Long seen, Integer calls) {
    /** Progress of a process that follows no evacuations. Its messages carry no field on them. */
    public static final EvacuationProgress NOT_FOLLOWED = new EvacuationProgress(null, null);
}
