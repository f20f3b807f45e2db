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
    private static final int OPERATION_COUNT = 16;
    private static final long RETENTION_MILLIS = 60_000;

    /**
     * A caller's attempt on one entry. A dead one receives no further event; a frozen one receives none for a while.
     */
    private static final class Attempt {
        private final ClaimKey key;
        private final HostLease lease;
        private final ClaimSession session;
        private boolean sent;
        private boolean dead;

        private Attempt(ClaimBegin begin, HostLease lease, long deadlineNanos) {
            this.key = begin.key();
            this.lease = lease;
            this.session = new ClaimSession(begin, lease, deadlineNanos, 3);
        }
    }

    /** A begin or a finish in flight to the leader. */
    private record Message(Attempt sender, ClaimBegin begin, ClaimFinish finish) {}

    private record Reply(Message message, CallResult<ClaimAnswer> result) {}

    private static final class Simulation {
        private final ControlFixture control = new ControlFixture();
        private final List<ClaimKey> keys = List.of(control.key(SNOWPAW), control.key(ZRNO));
        private final List<HostLease> leases = List.of(new HostLease(), new HostLease());
        private final List<Attempt> attempts = new ArrayList<>();
        private final List<Message> messages = new ArrayList<>();
        private final List<Reply> replies = new ArrayList<>();
        private final List<Attempt> calls = new ArrayList<>();
        private final Map<ClaimKey, Integer> runs = new HashMap<>();
        private long nowNanos;

        private Simulation() {
            control.limits(new ControlLimits(10, 10, 10, RETENTION_MILLIS, 100, 10));
        }

        void step(int operation, int choice) {
            switch (operation) {
                case 0, 1 -> begin(choice);
                case 2, 3, 4, 5 -> commit(choice);
                case 6, 7, 8, 9 -> deliverReply(choice);
                case 10, 11 -> runCall(choice);
                case 12 -> leases.get(choice % 2).recordGrant(nowNanos, 4_000);
                case 13 -> nowNanos += MILLISECONDS.toNanos(choice % 5_000);
                case 14 -> stopOrTimeOut(choice);
                default -> restartOrExpire(choice);
            }
        }

        private void begin(int choice) {
            int host = choice % 2;
            ClaimKey key = keys.get(choice / 2 % 2);
            ClaimBegin begin = new ClaimBegin(key, "digest", owner("e" + host, attempts.size()));
            Attempt attempt = new Attempt(begin, leases.get(host), nowNanos + MILLISECONDS.toNanos(10_000));
            attempts.add(attempt);
            perform(attempt, attempt.session.start());
        }

        /** The leader commits a message, possibly twice, or the message or its reply is lost. */
        private void commit(int choice) {
            if (messages.isEmpty()) {
                return;
            }
            Message message = messages.get(choice % messages.size());
            int fault = choice / 7 % 8;
            if (fault != 0) {
                messages.remove(message);
            }
            if (fault == 1) {
                replies.add(new Reply(message, new CallResult.NotSent<>("refused")));
                return;
            }
            long wallMillis = ISSUED + nowNanos / 1_000_000;
            ClaimOutcome outcome = message.begin() != null
                    ? control.begin(wallMillis, message.begin())
                    : control.finish(wallMillis, message.finish());
            CallResult<ClaimAnswer> answered = new CallResult.Answered<>(new ClaimAnswer.Decided(outcome));
            replies.add(new Reply(message, fault == 2 ? new CallResult.Unknown<>("lost") : answered));
        }

        private void deliverReply(int choice) {
            if (replies.isEmpty()) {
                return;
            }
            Reply reply = replies.remove(choice % replies.size());
            Attempt to = reply.message().sender();
            if (!to.dead) {
                boolean isBegin = reply.message().begin() != null;
                perform(
                        to,
                        isBegin
                                ? to.session.onBeginResult(reply.result(), nowNanos)
                                : to.session.onFinishResult(reply.result()));
            }
        }

        private void runCall(int choice) {
            if (calls.isEmpty()) {
                return;
            }
            Attempt call = calls.remove(choice % calls.size());
            int fault = choice / 5 % 4;
            if (fault == 0) {
                deliverCallResult(call, new CallResult.NotSent<>("connection refused"));
                return;
            }
            int count = runs.merge(call.key, 1, Integer::sum);
            assertEquals(1, count, "the call ran again");
            deliverCallResult(
                    call,
                    fault == 1
                            ? new CallResult.Unknown<>("lost")
                            : new CallResult.Answered<>(expectedAnswer(call.key)));
        }

        private void deliverCallResult(Attempt call, CallResult<RecordedAnswer> result) {
            if (!call.dead) {
                perform(call, call.session.onCallResult(result));
            }
        }

        private void stopOrTimeOut(int choice) {
            if (attempts.isEmpty()) {
                return;
            }
            Attempt each = attempts.get(choice % attempts.size());
            if (choice / 3 % 2 == 0) {
                each.dead = true;
            } else if (!each.dead) {
                perform(each, each.session.onDeadline());
            }
        }

        private void restartOrExpire(int choice) {
            if (choice % 2 == 0) {
                control.restart();
                return;
            }
            nowNanos += choice % 5 == 0 ? MILLISECONDS.toNanos(RETENTION_MILLIS) : 0;
            control.apply(new Command.ExpireClaims(ISSUED + nowNanos / 1_000_000));
        }

        private void perform(Attempt by, ClaimStep step) {
            if (step instanceof ClaimStep.Begin begin) {
                messages.add(new Message(by, begin.begin(), null));
            } else if (step instanceof ClaimStep.Send) {
                assertTrue(!by.sent && by.lease.isValid(nowNanos), "sent twice or without a lease");
                by.sent = true;
                calls.add(by);
            } else if (step instanceof ClaimStep.Finish finish) {
                messages.add(new Message(by, null, finish.finish()));
                reply(by, finish.reply());
            } else if (step instanceof ClaimStep.Reply reply) {
                reply(by, reply.reply());
            }
        }

        private void reply(Attempt to, ClaimReply reply) {
            if (reply instanceof ClaimReply.Answered answered) {
                assertEquals(expectedAnswer(to.key), answered.answer());
                assertEquals(1, runs.get(to.key));
            } else if (reply instanceof ClaimReply.Refused refused
                    && refused.refusal().ran() == Ran.NO) {
                assertEquals(0, runs.getOrDefault(to.key, 0), "reported a call as not run although it ran");
                assertTrue(calls.stream().noneMatch(c -> c.key.equals(to.key)), "reported a call in flight as not run");
            }
        }

        private static RecordedAnswer expectedAnswer(ClaimKey key) {
            return answer("the one run of " + key.organisation());
        }
    }

    @Property(seed = "44", tries = 2_000)
    void callRunsAtMostOnceAndEveryReplyIsCorrect(@ForAll("steps") List<Integer> steps) {
        Simulation simulation = new Simulation();
        for (int each : steps) {
            simulation.step(each % OPERATION_COUNT, each / OPERATION_COUNT);
        }
    }

    /** Reference model: keeps every claim indefinitely in one map and applies the rules directly. */
    private static final class ReferenceClaims {
        private final Map<ClaimKey, Claim> claims = new HashMap<>();
        private final Set<ClaimKey> expired = new HashSet<>();
        private long timeMillis;

        void advance(long wallMillis, List<ClaimKey> keys) {
            timeMillis = Math.max(timeMillis, wallMillis);
            keys.stream()
                    .filter(k -> timeMillis - k.key().issuedMillis() > RETENTION_MILLIS)
                    .forEach(expired::add);
        }

        ClaimOutcome begin(ClaimBegin begin) {
            Claim current = claims.get(begin.key());
            if (expired.contains(begin.key())) {
                return new ClaimOutcome.Refused(null, "");
            }
            boolean sameOwner = current != null && current.owner().equals(begin.owner());
            boolean released = current != null && current.state() == ClaimState.RELEASED;
            if (current == null || released && !sameOwner) {
                claims.put(begin.key(), new Claim(begin.key(), "", begin.owner(), ClaimState.BEGUN, null));
                return new ClaimOutcome.Granted();
            }
            if (current.state() == ClaimState.RECORDED) {
                return new ClaimOutcome.Recorded(current.answer());
            }
            if (released) {
                return new ClaimOutcome.NotOwner();
            }
            return sameOwner
                    ? new ClaimOutcome.Granted()
                    : new ClaimOutcome.MayHaveRun(current.owner().host());
        }

        ClaimOutcome finish(ClaimFinish finish) {
            Claim current = claims.get(finish.key());
            ClaimState targetState = finish.answer() == null ? ClaimState.RELEASED : ClaimState.RECORDED;
            boolean sameOwner = current != null && current.owner().equals(finish.owner());
            if (!sameOwner || current.state() != ClaimState.BEGUN && current.state() != targetState) {
                return new ClaimOutcome.NotOwner();
            }
            if (current.state() == ClaimState.BEGUN) {
                claims.put(finish.key(), new Claim(finish.key(), "", finish.owner(), targetState, finish.answer()));
            }
            return new ClaimOutcome.Finished();
        }
    }

    @Property(seed = "45", tries = 1_000)
    void decidesLikeTheReferenceModel(@ForAll("shortSteps") List<Integer> steps) {
        ControlFixture control = new ControlFixture();
        control.limits(new ControlLimits(10, 10, 10, RETENTION_MILLIS, 100, 10));
        ReferenceClaims reference = new ReferenceClaims();
        List<ClaimKey> keys = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            keys.add(new ClaimKey(SNOWPAW, IdempotencyKey.issue(SNOWPAW, ISSUED + 20_000 * i, new Random(i))));
        }
        long wallMillis = ISSUED + 10_000;
        for (int each : steps) {
            wallMillis += each % 7 == 0 ? 15_000 : 0;
            long commandMillis = wallMillis - each % 5 * 1_000L;
            reference.advance(commandMillis, keys);
            ClaimKey key = keys.get(each % 4);
            ClaimOwner owner = owner("e", each / 4 % 3);
            if (each / 12 % 2 == 0) {
                ClaimBegin begin = new ClaimBegin(key, "digest", owner);
                assertSame(reference.begin(begin), control.begin(commandMillis, begin));
                continue;
            }
            ClaimFinish finish = new ClaimFinish(key, owner, each / 24 % 2 == 0 ? null : answer("by " + owner));
            assertSame(reference.finish(finish), control.finish(commandMillis, finish));
            control.apply(new Command.ExpireClaims(commandMillis));
            reference.claims.keySet().removeAll(reference.expired);
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
