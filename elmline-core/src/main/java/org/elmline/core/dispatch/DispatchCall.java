package org.elmline.core.dispatch;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;
import org.elmline.core.common.ServiceName;

/**
 * Request to place one attempt of a call on a backend server.
 *
 * @param attempt unique over all entries; a repeated request with the same id is the same call
 * @param host the requesting entry
 * @param incarnation incarnation of the requesting entry
 * @param failureDomain failure domain of the requesting entry
 * @param shard shard of the service that should place the call; null means the whole service
 * @param priority 0 is the most urgent
 * @param promptTokens tokens of the prompt, 0 for a plain service
 * @param answerTokens expected tokens of the answer, 0 for a plain service
 * @param maxAnswerTokens maximum tokens of the answer
 * @param aimLeftMillis time left until the call is late; may be negative
 * @param gapMillis longest acceptable gap between events, 0 for a call without events
 * @param firstLeftMillis time left until a first token is useless, because the caller closes a stream without one
 * @param deadlineLeftMillis time left until the deadline, when the caller no longer waits
 * @param repeated whether an earlier attempt of the call may have reached a backend server
 * @param avoid servers that the call was sent to, that could not be reached, or that the entry may not send to
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
        if (attempt == null || host == null || failureDomain == null || service == null) {
            throw new IllegalArgumentException("a call needs attempt, host, failure domain and service");
        }
        shard = shard == null ? Shard.WHOLE : shard;
        avoid = avoid == null ? List.of() : List.copyOf(avoid);
    }

    /** The service and shard that should place the call. */
    public ServiceShard serviceShard() {
        return new ServiceShard(service, shard);
    }

    /** The same call, addressed to another shard. */
    public DispatchCall withShard(Shard newShard) {
        return with(newShard, aimLeftMillis, firstLeftMillis, deadlineLeftMillis, avoid);
    }

    /** The same call, which avoids exactly these servers. */
    DispatchCall avoiding(List<BackendServerId> servers) {
        return with(shard, aimLeftMillis, firstLeftMillis, deadlineLeftMillis, servers);
    }

    /** The same call, which avoids these servers too. */
    public DispatchCall alsoAvoiding(List<BackendServerId> servers) {
        if (servers.isEmpty()) {
            return this;
        }
        Set<BackendServerId> all = new LinkedHashSet<>(avoid);
        all.addAll(servers);
        return avoiding(List.copyOf(all));
    }

    /** The same call with the times that remain now, in milliseconds. */
    DispatchCall withRemainingTimes(long aimMillis, long firstMillis, long deadlineMillis) {
        return with(shard, aimMillis, firstMillis, deadlineMillis, avoid);
    }

    private DispatchCall with(
            Shard newShard, long aimMillis, long firstMillis, long deadlineMillis, List<BackendServerId> servers) {
        return new DispatchCall(
                attempt,
                host,
                incarnation,
                failureDomain,
                service,
                newShard,
                priority,
                promptTokens,
                answerTokens,
                maxAnswerTokens,
                aimMillis,
                gapMillis,
                firstMillis,
                deadlineMillis,
                repeated,
                servers);
    }

    /** KV memory that the call needs on engines, in tokens. */
    public long memoryTokens() {
        return promptTokens + maxAnswerTokens;
    }

    /**
     * Work that a caller loses with the call, in prompt tokens: decoding one token takes about as long as prefilling
     * ten.
     */
    public long workTokens() {
        return promptTokens + 10 * answerTokens;
    }
}
