package org.elmline.core.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.elmline.core.common.CallResult;
import org.elmline.core.common.Ran;

import static java.util.concurrent.TimeUnit.MILLISECONDS;
import static org.elmline.core.control.ControlFixture.ISSUED;
import static org.elmline.core.control.ControlFixture.SNOWPAW;
import static org.elmline.core.control.ControlFixture.ZRNO;
import static org.elmline.core.control.ControlFixture.answer;
import static org.elmline.core.control.ControlFixture.owner;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Callers repeat one key on several entries that freeze, stop, and lose leases and messages: the call runs at most
 * once.
 */
class ClaimPropertiesTest {
    private static final int OPERATIONS = 16;
    private static final long RETENTION_MILLIS = 60_000;

    /**
     * A caller's attempt on one entry. A dead one receives no further event; a frozen one receives none for a while.
     */
    private static final class Try {
        private final ClaimKey key;
        private final HostLease lease;
        private final ClaimSession session;
        private boolean sent;
        private boolean dead;

        private Try(ClaimBegin begin, HostLease lease, long deadlineNanos) {
            this.key = begin.key();
            this.lease = lease;
            this.session = new ClaimSession(begin, lease, deadlineNanos, 3);
        }
    }

    /** A begin or a finish in flight to the leader. */
    private record Message(Try from, ClaimBegin begin, ClaimFinish finish) {}

    private record Reply(Message to, CallResult<ClaimAnswer> result) {}

    private static final class World {
        private final ControlFixture control = new ControlFixture();
        private final List<ClaimKey> keys = List.of(control.key(SNOWPAW), control.key(ZRNO));
        private final List<HostLease> leases = List.of(new HostLease(), new HostLease());
        private final List<Try> tries = new ArrayList<>();
        private final List<Message> messages = new ArrayList<>();
        private final List<Reply> replies = new ArrayList<>();
        private final List<Try> calls = new ArrayList<>();
        private final Map<ClaimKey, Integer> runs = new HashMap<>();
        private long now;

        private World() {
            control.limits(new ControlLimits(10, 10, 10, RETENTION_MILLIS, 100, 10));
        }

        void step(int operation, int choice) {
            switch (operation) {
                case 0, 1 -> begin(choice);
                case 2, 3, 4, 5 -> commit(choice);
                case 6, 7, 8, 9 -> hear(choice);
                case 10, 11 -> serve(choice);
                case 12 -> leases.get(choice % 2).recordGrant(now, 4_000);
                case 13 -> now += MILLISECONDS.toNanos(choice % 5_000);
                case 14 -> breakOff(choice);
                default -> tend(choice);
            }
        }

        private void begin(int choice) {
            int host = choice % 2;
            ClaimKey key = keys.get(choice / 2 % 2);
            ClaimBegin begin = new ClaimBegin(key, "digest", owner("e" + host, tries.size()));
            Try next = new Try(begin, leases.get(host), now + MILLISECONDS.toNanos(10_000));
            tries.add(next);
            perform(next, next.session.start());
        }

        /** The leader commits a message, possibly twice, or the message or its reply is lost. */
        private void commit(int choice) {
            if (messages.isEmpty()) {
                return;
            }
            Message message = messages.get(choice % messages.size());
            int fate = choice / 7 % 8;
            if (fate != 0) {
                messages.remove(message);
            }
            if (fate == 1) {
                replies.add(new Reply(message, new CallResult.NotSent<>("refused")));
                return;
            }
            long wall = ISSUED + now / 1_000_000;
            ClaimOutcome outcome = message.begin() != null
                    ? control.begin(wall, message.begin())
                    : control.finish(wall, message.finish());
            CallResult<ClaimAnswer> answered = new CallResult.Answered<>(new ClaimAnswer.Decided(outcome));
            replies.add(new Reply(message, fate == 2 ? new CallResult.Unknown<>("lost") : answered));
        }

        private void hear(int choice) {
            if (replies.isEmpty()) {
                return;
            }
            Reply reply = replies.remove(choice % replies.size());
            Try to = reply.to().from();
            if (!to.dead) {
                boolean begin = reply.to().begin() != null;
                perform(
                        to,
                        begin
                                ? to.session.onBeginResult(reply.result(), now)
                                : to.session.onFinishResult(reply.result()));
            }
        }

        private void serve(int choice) {
            if (calls.isEmpty()) {
                return;
            }
            Try call = calls.remove(choice % calls.size());
            int fate = choice / 5 % 4;
            if (fate == 0) {
                called(call, new CallResult.NotSent<>("connection refused"));
                return;
            }
            int count = runs.merge(call.key, 1, Integer::sum);
            assertEquals(1, count, "the call ran again");
            called(call, fate == 1 ? new CallResult.Unknown<>("lost") : new CallResult.Answered<>(ranOnce(call.key)));
        }

        private void called(Try call, CallResult<RecordedAnswer> result) {
            if (!call.dead) {
                perform(call, call.session.onCallResult(result));
            }
        }

        private void breakOff(int choice) {
            if (tries.isEmpty()) {
                return;
            }
            Try each = tries.get(choice % tries.size());
            if (choice / 3 % 2 == 0) {
                each.dead = true;
            } else if (!each.dead) {
                perform(each, each.session.onDeadline());
            }
        }

        private void tend(int choice) {
            if (choice % 2 == 0) {
                control.restart();
                return;
            }
            now += choice % 5 == 0 ? MILLISECONDS.toNanos(RETENTION_MILLIS) : 0;
            control.apply(new Command.ExpireClaims(ISSUED + now / 1_000_000));
        }

        private void perform(Try by, ClaimStep step) {
            if (step instanceof ClaimStep.Begin begin) {
                messages.add(new Message(by, begin.begin(), null));
            } else if (step instanceof ClaimStep.Send) {
                assertTrue(!by.sent && by.lease.isValid(now), "sent twice or without a lease");
                by.sent = true;
                calls.add(by);
            } else if (step instanceof ClaimStep.Finish finish) {
                messages.add(new Message(by, null, finish.finish()));
                reply(by, finish.reply());
            } else if (step instanceof ClaimStep.Reply reply) {
                reply(by, reply.reply());
            }
        }

        private void reply(Try to, ClaimReply reply) {
            if (reply instanceof ClaimReply.Answered answered) {
                assertEquals(ranOnce(to.key), answered.answer());
                assertEquals(1, runs.get(to.key));
            } else if (reply instanceof ClaimReply.Refused refused
                    && refused.refusal().ran() == Ran.NO) {
                assertEquals(0, runs.getOrDefault(to.key, 0), "told that a call didn't run which did");
                assertTrue(
                        calls.stream().noneMatch(c -> c.key.equals(to.key)), "told that a call on its way didn't run");
            }
        }

        private static RecordedAnswer ranOnce(ClaimKey key) {
            return answer("the one run of " + key.organisation());
        }
    }

    @Property(seed = "44", tries = 2_000)
    void oneRunAtMostAndEveryReplyIsTrue(@ForAll("steps") List<Integer> steps) {
        World world = new World();
        for (int each : steps) {
            world.step(each % OPERATIONS, each / OPERATIONS);
        }
    }

    /** Reference model: keeps every claim indefinitely in one map and applies the rules directly. */
    private static final class NaiveClaims {
        private final Map<ClaimKey, Claim> claims = new HashMap<>();
        private final Set<ClaimKey> expired = new HashSet<>();
        private long time;

        void advance(long wall, List<ClaimKey> keys) {
            time = Math.max(time, wall);
            keys.stream()
                    .filter(k -> time - k.key().issuedMillis() > RETENTION_MILLIS)
                    .forEach(expired::add);
        }

        ClaimOutcome begin(ClaimBegin begin) {
            Claim held = claims.get(begin.key());
            if (expired.contains(begin.key())) {
                return new ClaimOutcome.Refused(null, "");
            }
            boolean mine = held != null && held.owner().equals(begin.owner());
            boolean released = held != null && held.state() == ClaimState.RELEASED;
            if (held == null || released && !mine) {
                claims.put(begin.key(), new Claim(begin.key(), "", begin.owner(), ClaimState.BEGUN, null));
                return new ClaimOutcome.Granted();
            }
            if (held.state() == ClaimState.RECORDED) {
                return new ClaimOutcome.Recorded(held.answer());
            }
            if (released) {
                return new ClaimOutcome.NotOwner();
            }
            return mine
                    ? new ClaimOutcome.Granted()
                    : new ClaimOutcome.MayHaveRun(held.owner().host());
        }

        ClaimOutcome finish(ClaimFinish finish) {
            Claim held = claims.get(finish.key());
            ClaimState wanted = finish.answer() == null ? ClaimState.RELEASED : ClaimState.RECORDED;
            boolean mine = held != null && held.owner().equals(finish.owner());
            if (!mine || held.state() != ClaimState.BEGUN && held.state() != wanted) {
                return new ClaimOutcome.NotOwner();
            }
            if (held.state() == ClaimState.BEGUN) {
                claims.put(finish.key(), new Claim(finish.key(), "", finish.owner(), wanted, finish.answer()));
            }
            return new ClaimOutcome.Finished();
        }
    }

    @Property(seed = "45", tries = 1_000)
    void decidesLikeTheNaiveVersion(@ForAll("shortSteps") List<Integer> steps) {
        ControlFixture control = new ControlFixture();
        control.limits(new ControlLimits(10, 10, 10, RETENTION_MILLIS, 100, 10));
        NaiveClaims naive = new NaiveClaims();
        List<ClaimKey> keys = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            keys.add(new ClaimKey(SNOWPAW, IdempotencyKey.issue(SNOWPAW, ISSUED + 20_000 * i, new Random(i))));
        }
        long wall = ISSUED + 10_000;
        for (int each : steps) {
            wall += each % 7 == 0 ? 15_000 : 0;
            long stamped = wall - each % 5 * 1_000L;
            naive.advance(stamped, keys);
            ClaimKey key = keys.get(each % 4);
            ClaimOwner owner = owner("e", each / 4 % 3);
            if (each / 12 % 2 == 0) {
                ClaimBegin begin = new ClaimBegin(key, "digest", owner);
                assertSame(naive.begin(begin), control.begin(stamped, begin));
                continue;
            }
            ClaimFinish finish = new ClaimFinish(key, owner, each / 24 % 2 == 0 ? null : answer("by " + owner));
            assertSame(naive.finish(finish), control.finish(stamped, finish));
            control.apply(new Command.ExpireClaims(stamped));
            naive.claims.keySet().removeAll(naive.expired);
        }
    }

    private static void assertSame(ClaimOutcome expected, ClaimOutcome actual) {
        boolean refused = expected instanceof ClaimOutcome.Refused && actual instanceof ClaimOutcome.Refused;
        if (!refused) {
            assertEquals(expected, actual);
        }
    }

    @Provide
    Arbitrary<List<Integer>> steps() {
        return ControlFixture.steps(60, 200);
    }

    @Provide
    Arbitrary<List<Integer>> shortSteps() {
        return ControlFixture.steps(20, 80);
    }
}
