package org.elmline.core.raft;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

import org.elmline.core.common.HostId;

/**
 * A deterministic simulation of replicas on hosts with a small share of a processor: each message that a host sends or
 * handles takes time on it, by its size, and waits behind the ones before it. Links are fast and lose nothing.
 */
final class SlowCluster {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long TICK_NANOS = 25 * NANOS_PER_MILLI;
    private static final long LINK_NANOS = NANOS_PER_MILLI;
    private static final int MESSAGE_BYTES = 150;
    private static final int BYTES_PER_KILOBYTE = 1_024;

    private final Map<ReplicaId, Host> hosts = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final RaftSettings settings;
    private final RandomGenerator random;
    private final Duration message;
    private final Duration kilobyte;
    private long now;
    private long eventNumber;

    private record Event(long at, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at == other.at ? Long.compare(number, other.number) : Long.compare(at, other.at);
        }
    }

    /**
     * @param message processor time of one message at its sender, and again at its receiver
     * @param kilobyte processor time of each kilobyte of it, likewise
     */
    SlowCluster(RaftSettings settings, long seed, Duration message, Duration kilobyte) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        this.message = message;
        this.kilobyte = kilobyte;
    }

    /** Ids of voters of one log. */
    static List<ReplicaId> ids(int count) {
        List<ReplicaId> ids = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ids.add(new ReplicaId(HostId.of("h" + i), 1));
        }
        return ids;
    }

    /** Starts a host within a time, with the log that it had. */
    void start(ReplicaId id, RestoredState restored, long withinNanos) {
        at(random.nextLong(withinNanos), () -> hosts.put(id, new Host(id, restored)));
    }

    /** Runs until a leader has committed an entry of its own term; returns false when the time is over before. */
    boolean runUntilCommit(long untilNanos) {
        while (events.peek().at() < untilNanos) {
            step();
            if (hasCommittedLeader()) {
                return true;
            }
        }
        return false;
    }

    /** Runs and returns how many times the leader that had committed in its term was lost. */
    int countLostLeaders(long untilNanos) {
        int lost = 0;
        boolean led = true;
        while (events.peek().at() < untilNanos) {
            step();
            boolean leads = hasCommittedLeader();
            lost += led && !leads ? 1 : 0;
            led = leads;
        }
        return lost;
    }

    private void step() {
        Event next = events.poll();
        now = next.at();
        next.action().run();
    }

    private boolean hasCommittedLeader() {
        return hosts.values().stream().anyMatch(each -> each.node.isLeader() && each.node.isCurrent());
    }

    private void at(long time, Runnable action) {
        events.add(new Event(time, eventNumber++, action));
    }

    private long costNanos(Message sent) {
        long bytes = MESSAGE_BYTES;
        if (sent instanceof Message.AppendRequest request) {
            bytes += request.entries().stream().mapToLong(Entry::sizeBytes).sum();
        }
        return message.toNanos() + bytes * kilobyte.toNanos() / BYTES_PER_KILOBYTE;
    }

    /** One host, whose processor does one thing after the other. */
    private final class Host {
        private final RaftNode node;
        private long freeAtNanos;

        Host(ReplicaId id, RestoredState restored) {
            node = new RaftNode(id, settings, restored, random, now);
            freeAtNanos = now;
            scheduleTick();
        }

        private void scheduleTick() {
            at(Math.max(now + TICK_NANOS, freeAtNanos), () -> {
                node.tick(now);
                processReady();
                scheduleTick();
            });
        }

        private void receive(Message received) {
            freeAtNanos = Math.max(now, freeAtNanos) + costNanos(received);
            at(freeAtNanos, () -> {
                node.step(now, received);
                processReady();
            });
        }

        private void processReady() {
            while (node.hasReady()) {
                Ready ready = node.ready();
                ready.messagesBeforeSync().forEach(this::send);
                ready.messagesAfterSync().forEach(this::send);
                node.advance(now, ready);
            }
        }

        private void send(Message sent) {
            freeAtNanos = Math.max(now, freeAtNanos) + costNanos(sent);
            at(freeAtNanos + LINK_NANOS, () -> {
                Host to = hosts.get(sent.to());
                if (to != null) {
                    to.receive(sent);
                }
            });
        }
    }

    /** A log with one entry for each of some commands, all of one term, as a host restores it. */
    static RestoredState log(Membership membership, int commands, int bytes) {
        List<Entry> entries =
                new ArrayList<>(RestoredState.bootstrap(membership).entries());
        for (byte[] each : Collections.nCopies(commands, new byte[bytes])) {
            entries.add(new Entry(entries.size() + 1, 1, EntryKind.COMMAND, each));
        }
        return new RestoredState(new HardState(1, null), null, entries);
    }
}
