package org.elmline.core.dispatch;

import java.util.List;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;
import org.elmline.core.common.ServiceName;

/**
 * Asks for a place for one try of a call.
 *
 * @param attempt unique over all entries; asked again it is the same call
 * @param host the asking entry
 * @param incarnation start of the asking entry
 * @param shard of the service that is asked for a place; all of it when it is not told
 * @param priority 0 is the most urgent
 * @param promptTokens tokens of the prompt, 0 for a plain service
 * @param answerTokens tokens of the answer that are expected, 0 for a plain service
 * @param maxAnswerTokens tokens that the answer may have
 * @param aimLeftMillis time left until the call is late; may be negative
 * @param gapMillis longest useful pause between events, 0 without events
 * @param firstLeftMillis time left in which a first token is of use: callers leave a stream that stays silent for longer
 * @param deadlineLeftMillis time left until nobody waits any more
 * @param repeated whether the call was sent to a backend server before
 * @param avoid servers that it was sent to, or that could not be reached
 */
public record DispatchCall(
        String attempt,
        HostId host,
        long incarnation,
        FailureDomain failureDomain,
        ServiceName service,
        Shard shard,
        int priority,
        long promptTokens,
        long answerTokens,
        long maxAnswerTokens,
        long aimLeftMillis,
        int gapMillis,
        long firstLeftMillis,
        long deadlineLeftMillis,
        boolean repeated,
        List<BackendServerId> avoid) {
    public DispatchCall {
        shard = shard == null ? Shard.WHOLE : shard;
        avoid = avoid == null ? List.of() : List.copyOf(avoid);
    }

    /** What is asked for a place. */
    public ServiceShard serviceShard() {
        return new ServiceShard(service, shard);
    }

    /** The same call, asked for at a shard. */
    public DispatchCall withShard(Shard other) {
        return with(other, aimLeftMillis, firstLeftMillis, deadlineLeftMillis);
    }

    /** The same call with the times that are left of it now. */
    DispatchCall withRemainingTimes(long aimMillis, long firstMillis, long deadlineMillis) {
        return with(shard, aimMillis, firstMillis, deadlineMillis);
    }

    private DispatchCall with(Shard other, long aimMillis, long firstMillis, long deadlineMillis) {
        return new DispatchCall(
                attempt,
                host,
                incarnation,
                failureDomain,
                service,
                other,
                priority,
                promptTokens,
                answerTokens,
                maxAnswerTokens,
                aimMillis,
                gapMillis,
                firstMillis,
                deadlineMillis,
                repeated,
                avoid);
    }

    /** Memory that the call needs on engines, in tokens. */
    public long memoryTokens() {
        return promptTokens + maxAnswerTokens;
    }

    /** How much work a caller loses with the call: tokens read, and ten for each written as it takes about as long. */
    public long workTokens() {
        return promptTokens + 10 * answerTokens;
    }
}
