package org.elmline.daemon.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.elmline.core.dispatch.AttemptEnd;

/**
 * The attempts of one call that are under way: usually one, and two while a server is silent and another one is to take
 * its place. A silent attempt goes on until another server has a place for the call or, where the caller has part of the
 * answer, has more of it. Used on the I/O thread only.
 */
final class OpenAttempts {
    private final List<Attempt> attempts = new ArrayList<>(2);

    void add(Attempt attempt) {
        attempts.add(attempt);
    }

    void remove(Attempt attempt) {
        attempts.remove(attempt);
    }

    boolean isEmpty() {
        return attempts.isEmpty();
    }

    /** Whether no attempt but this one is under way. */
    boolean hasOnly(Attempt attempt) {
        return attempts.size() == 1 && attempts.get(0) == attempt;
    }

    boolean areAllSilent() {
        return attempts.stream().allMatch(Attempt::isSilent);
    }

    /** Whether no server has begun to answer. */
    boolean haveNoHead() {
        return attempts.stream().allMatch(Attempt::hasNoHead);
    }

    /** Whether a server may have started to run one of the attempts. */
    boolean mayHaveRun() {
        return attempts.stream().anyMatch(Attempt::mayHaveRun);
    }

    /** Bytes of events that are incomplete. */
    int partialEventBytes() {
        return attempts.stream().mapToInt(Attempt::partialEventBytes).sum();
    }

    /** Resumes reads that were paused for want of memory. */
    void resumeReads() {
        forEach(Attempt::resume);
    }

    void forEach(Consumer<Attempt> action) {
        List.copyOf(attempts).forEach(action);
    }

    /** Cancels and removes all attempts but one, which may be null. Returns those that were cancelled. */
    List<Attempt> cancelOthers(Attempt kept) {
        List<Attempt> others = new ArrayList<>(attempts);
        others.remove(kept);
        attempts.removeAll(others);
        others.forEach(each -> each.cancel(AttemptEnd.CANCELLED));
        return others;
    }
}
