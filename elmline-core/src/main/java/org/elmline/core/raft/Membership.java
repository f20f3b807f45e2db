package org.elmline.core.raft;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/**
 * The replicas that hold the log: voters elect leaders and commit entries, learners only receive entries. Both lists
 * are sorted and disjoint. A membership takes effect on a replica as soon as it is in its log (Raft thesis, section
 * 4.1).
 */
public record Membership(List<ReplicaId> voters, List<ReplicaId> learners) {
    public static final Membership EMPTY = new Membership(List.of(), List.of());

    private static final String VOTER = "voter ";
    private static final String LEARNER = "learner ";

    public Membership {
        voters = List.copyOf(new TreeSet<>(voters));
        learners = List.copyOf(new TreeSet<>(learners));
        for (ReplicaId each : learners) {
            if (voters.contains(each)) {
                throw new IllegalArgumentException("both voter and learner: " + each);
            }
        }
    }

    public static Membership ofVoters(Collection<ReplicaId> voters) {
        return new Membership(List.copyOf(voters), List.of());
    }

    /** Number of replicas that form a majority of the voters. */
    public int quorum() {
        return voters.size() / 2 + 1;
    }

    public boolean isVoter(ReplicaId id) {
        return voters.contains(id);
    }

    public boolean isLearner(ReplicaId id) {
        return learners.contains(id);
    }

    public boolean contains(ReplicaId id) {
        return isVoter(id) || isLearner(id);
    }

    /** All replicas, voters first. */
    public List<ReplicaId> all() {
        ReplicaId[] all = Arrays.copyOf(voters.toArray(new ReplicaId[0]), voters.size() + learners.size());
        for (int i = 0; i < learners.size(); i++) {
            all[voters.size() + i] = learners.get(i);
        }
        return List.of(all);
    }

    Membership with(ReplicaId id, boolean voter) {
        TreeSet<ReplicaId> newVoters = new TreeSet<>(voters);
        TreeSet<ReplicaId> newLearners = new TreeSet<>(learners);
        newLearners.remove(id);
        (voter ? newVoters : newLearners).add(id);
        return new Membership(List.copyOf(newVoters), List.copyOf(newLearners));
    }

    Membership without(ReplicaId id) {
        TreeSet<ReplicaId> newVoters = new TreeSet<>(voters);
        TreeSet<ReplicaId> newLearners = new TreeSet<>(learners);
        newVoters.remove(id);
        newLearners.remove(id);
        return new Membership(List.copyOf(newVoters), List.copyOf(newLearners));
    }

    /**
     * Encodes this membership as UTF-8 text with one line {@code voter HOST@HEX} or {@code learner HOST@HEX} per
     * replica.
     */
    public byte[] toBytes() {
        StringBuilder text = new StringBuilder();
        voters.forEach(each -> text.append(VOTER).append(each).append('\n'));
        learners.forEach(each -> text.append(LEARNER).append(each).append('\n'));
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Decodes the result of {@link #toBytes()}; throws IllegalArgumentException for anything else. */
    public static Membership ofBytes(byte[] bytes) {
        TreeSet<ReplicaId> voters = new TreeSet<>();
        TreeSet<ReplicaId> learners = new TreeSet<>();
        for (String line : new String(bytes, StandardCharsets.UTF_8).split("\n")) {
            if (line.startsWith(VOTER)) {
                voters.add(ReplicaId.parse(line.substring(VOTER.length())));
            } else if (line.startsWith(LEARNER)) {
                learners.add(ReplicaId.parse(line.substring(LEARNER.length())));
            } else if (!line.isEmpty()) {
                throw new IllegalArgumentException("not a member: '" + line + "'");
            }
        }
        return new Membership(List.copyOf(voters), List.copyOf(learners));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Membership that && voters.equals(that.voters) && learners.equals(that.learners);
    }

    @Override
    public int hashCode() {
        return 31 * voters.hashCode() + learners.hashCode();
    }

    @Override
    public String toString() {
        return "voters " + voters + " learners " + learners;
    }
}
