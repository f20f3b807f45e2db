package org.elmline.daemon.coordinator;

import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.Predicate;

import org.elmline.core.peer.Channel;

/**
 * A request that only the leader of the log can answer.
 *
 * @param localHandler answers the request where this host leads
 * @param isNotLeader whether an answer shows that its host is not the leader
 * @param noLeaderResult result when no leader could be reached in time; the request was not carried out
 * @param unknownResult result when no answer came in time; the request may have been carried out
 */
record LeaderCall<Q, R>(
        Channel<Q, R> channel,
        Q request,
        Function<Q, CompletionStage<R>> localHandler,
        Predicate<R> isNotLeader,
        R noLeaderResult,
        R unknownResult) {}
