package org.elmline.core.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Answers that ended before they were complete, until it is known whether their servers ended too. A server may end
 * after an answer was given up, refuse connections later than it breaks off its answers, or give no sign at all.
 * Bounded: the oldest are dropped first. Times named {@code now} are monotonic, in nanoseconds. Not safe for concurrent
 * use.
 *
 * @param <T> what is kept of an answer
 */
public final class UnresolvedAnswers<T> {
    /** Time for which an answer is kept: the first heartbeat of a server's next start may be seconds late. */
    private static final long RETENTION_NANOS = Duration.ofSeconds(10).toNanos();

    /** A server that works this long after an answer ended did not end because of its request. */
    private static final long SURVIVAL_NANOS = Duration.ofSeconds(3).toNanos();

    /**
     * A server that accepts a connection this long after an answer broke off did not end because of its request: one
     * that ends may accept connections for a moment after it has closed those that it has.
     */
    private static final long ACCEPTANCE_NANOS = Duration.ofMillis(500).toNanos();

    /** Times of the checks of a server after an answer of it ended. */
    private static final long[] CHECKS_AFTER_NANOS = Arrays.stream(new long[] {100, 200, 350, 600, 1_200, 2_100})
            .map(millis -> Duration.ofMillis(millis).toNanos())
            .toArray();

    private static final int MAX_SERVERS = 256;
    private static final int MAX_ANSWERS_PER_SERVER = 64;

    private final Map<ServerStart, Server<T>> servers = new LinkedHashMap<>();

    /** The unresolved answers of one start of a server. */
    private static final class Server<T> {
        private final List<Unresolved<T>> answers = new ArrayList<>();
        private long checksSinceNanos;
        private long lastLifeNanos = Long.MIN_VALUE;
        private long checkStartedNanos;
        private long lastAcceptedNanos;
        private boolean hasAccepted;
        private int checks;
        private boolean checking;
        private boolean acceptedConnection;

        private boolean isCheckDue(long now) {
            return !checking
                    && checks < CHECKS_AFTER_NANOS.length
                    && now - checksSinceNanos >= CHECKS_AFTER_NANOS[checks];
        }

        private boolean hasLivedSinceLastCheck() {
            long sinceNanos = checksSinceNanos + (checks == 0 ? 0 : CHECKS_AFTER_NANOS[checks - 1]);
            return lastLifeNanos != Long.MIN_VALUE && lastLifeNanos - sinceNanos > 0;
        }

        private void endCheck(boolean accepted) {
            checking = false;
            acceptedConnection = accepted;
            if (accepted) {
                hasAccepted = true;
                lastAcceptedNanos = checkStartedNanos;
            }
        }

        /** Whether the server has accepted a connection too late to have ended because of the answer. */
        private boolean hasAcceptedAfter(Unresolved<T> answer) {
            return hasAccepted && answer.brokenOff() && lastAcceptedNanos - answer.endedAtNanos() >= ACCEPTANCE_NANOS;
        }

        /** Whether a check that accepts a connection now would show that the server has survived an answer. */
        private boolean canShowSurvival(long now) {
            return answers.stream()
                    .anyMatch(each -> each.brokenOff()
                            && now - each.endedAtNanos() >= ACCEPTANCE_NANOS
                            && !hasAcceptedAfter(each));
        }
    }

    /**
     * An answer that ended before it was complete.
     *
     * @param brokenOff whether its connection ended amid it; if not, it was silent, rejected or given up
     * @param endedAtNanos when it broke off or was given up
     */
    public record Unresolved<T>(T answer, boolean brokenOff, long endedAtNanos) {}

    public boolean isEmpty() {
        return servers.isEmpty();
    }

    /**
     * Adds an answer that has just ended.
     *
     * @param brokenOff whether its connection ended amid it
     */
    public void add(ServerStart start, T answer, boolean brokenOff, long now) {
        Server<T> server = servers.computeIfAbsent(start, each -> new Server<>());
        if (server.answers.isEmpty() || server.checks > 0) {
            // Answers that follow closely would put off the first check for good.
            server.checksSinceNanos = now;
            server.checks = 0;
        }
        if (server.answers.size() >= MAX_ANSWERS_PER_SERVER) {
            server.answers.remove(0);
        }
        server.answers.add(new Unresolved<>(answer, brokenOff, now));
        if (servers.size() > MAX_SERVERS) {
            servers.remove(servers.keySet().iterator().next());
        }
    }

    /** Records that a server has sent part of another answer. */
    public void recordLife(ServerStart start, long now) {
        Server<T> server = servers.get(start);
        if (server == null) {
            return;
        }
        server.lastLifeNanos = now;
        server.answers.removeIf(each -> now - each.endedAtNanos() >= SURVIVAL_NANOS);
        if (server.answers.isEmpty()) {
            servers.remove(start);
        }
    }

    /** The servers that are to be checked now; each counts as being checked until {@link #endCheck}. */
    public List<ServerStart> startChecks(long now) {
        List<ServerStart> due = new ArrayList<>();
        servers.forEach((start, server) -> {
            if (!server.isCheckDue(now)) {
                return;
            }
            boolean needed = !server.hasLivedSinceLastCheck() || server.canShowSurvival(now);
            server.checks++;
            if (needed) {
                server.checking = true;
                server.checkStartedNanos = now;
                due.add(start);
            }
        });
        return due;
    }

    /** Records the end of a check, and whether the server accepted a connection. */
    public void endCheck(ServerStart start, boolean acceptedConnection) {
        Server<T> server = servers.get(start);
        if (server != null && server.checking) {
            server.endCheck(acceptedConnection);
        }
    }

    /** Whether the latest check found that a server with unresolved answers accepts connections. */
    public boolean acceptedConnection(ServerStart start) {
        return servers.get(start).acceptedConnection;
    }

    /** The latest unresolved answer of a server that has some. */
    public T latest(ServerStart start) {
        List<Unresolved<T>> answers = servers.get(start).answers;
        return answers.get(answers.size() - 1).answer();
    }

    /** Drops answers of a server that say nothing any more. */
    public void removeIf(ServerStart start, Predicate<T> resolved) {
        Server<T> server = servers.get(start);
        if (server != null && server.answers.removeIf(each -> resolved.test(each.answer()))) {
            servers.values().removeIf(each -> each.answers.isEmpty());
        }
    }

    /** The servers with unresolved answers. */
    public List<ServerStart> starts() {
        return List.copyOf(servers.keySet());
    }

    /** The answers that may have ended a server that is found ended; all are resolved with that. */
    public List<Unresolved<T>> resolve(ServerStart start) {
        Server<T> ended = servers.remove(start);
        if (ended == null) {
            return List.of();
        }
        ended.answers.removeIf(ended::hasAcceptedAfter);
        return ended.answers;
    }

    /**
     * The same for a server of which a later start is registered. That start may be the one that accepted connections,
     * unless a check has found since then that none were accepted.
     */
    public List<Unresolved<T>> resolveStartedAgain(ServerStart start) {
        Server<T> ended = servers.get(start);
        if (ended == null || !ended.acceptedConnection) {
            return resolve(start);
        }
        servers.remove(start);
        return ended.answers;
    }

    /** Drops the answers whose servers have shown no end for too long. */
    public void removeExpired(long now) {
        servers.values().removeIf(server -> {
            server.answers.removeIf(each -> now - each.endedAtNanos() >= RETENTION_NANOS);
            return server.answers.isEmpty();
        });
    }
}
