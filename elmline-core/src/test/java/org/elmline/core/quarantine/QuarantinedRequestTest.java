package org.elmline.core.quarantine;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.elmline.core.quarantine.QuarantineStage.QUARANTINED;
import static org.elmline.core.quarantine.QuarantineStage.SUSPECTED;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

class QuarantinedRequestTest {
    private static final String REQUEST = "request:bad";

    private final QuarantineFixture fixture = new QuarantineFixture();

    /** A server ends under a try of the request, which has an id of its own. */
    private void crash(String server) {
        fixture.crash(server, "try on " + server, "a " + REQUEST);
        fixture.advanceMillis(20);
    }

    @Test
    void suspectsAfterTwoServersAndRefusesAfterThree() {
        crash("s1");
        assertEquals(List.of(), fixture.groups(SUSPECTED));
        crash("s2");
        assertEquals(List.of(REQUEST), fixture.groups(SUSPECTED));
        crash("s3");
        assertEquals(List.of(REQUEST), fixture.groups(QUARANTINED));
    }

    /** Each try would otherwise count as a request of its own against what sound requests share with it. */
    @Test
    void triesOfOneRequestDoNotAccuseItsParts() {
        for (int i = 0; i < 8; i++) {
            crash("s" + i);
        }
        fixture.passOfOthers();
        fixture.advanceMillis(300);
        assertEquals(List.of(REQUEST), fixture.groups(QUARANTINED));
        assertEquals(List.of(), fixture.groups(SUSPECTED));
    }

    /** Requests that each end two servers leave the evidence against a part that they share as it is. */
    @Test
    void suspectRequestsHideNoCrashingPart() {
        for (int i = 0; i < 3; i++) {
            fixture.crash("s" + i, "q" + i, "bad request:" + i);
            fixture.crash("t" + i, "r" + i, "bad request:" + i);
            fixture.advanceMillis(100);
        }
        fixture.passOfOthers();
        fixture.advanceMillis(300);
        assertEquals(List.of("bad"), fixture.groups(QUARANTINED));
    }

    @Test
    void completeAnswerReleasesTheRequest() {
        crash("s1");
        crash("s2");
        fixture.pass(REQUEST);
        assertEquals(List.of(), fixture.groups(SUSPECTED));
        fixture.advanceMillis(3_000);
        crash("s3");
        assertEquals(List.of(), fixture.groups(SUSPECTED));
    }

    /** Calls that wait are tried one at a time, however long their answers take to show anything. */
    @Test
    void grantsOneTrialAtATime() {
        crash("s1");
        crash("s2");
        fixture.advanceMillis(300);
        fixture.demand(REQUEST);
        assertNotNull(fixture.record(REQUEST).trialEntry());
        fixture.advanceMillis(9_000);
        assertNotNull(fixture.record(REQUEST).trialEntry());
        fixture.advanceMillis(1_000);
        assertNull(fixture.record(REQUEST).trialEntry());
    }

    /** A grant that only a call which has run could use would keep all others waiting. */
    @Test
    void callThatHasRunIsATrialOfItsRequest() {
        crash("s1");
        crash("s2");
        fixture.advanceMillis(300);
        fixture.demand(REQUEST);
        QuarantineView view = new QuarantineView(QuarantineFixture.ENTRY);
        view.apply(fixture.registry.news(fixture.now()), fixture.now());
        List<PromptPart> parts = QuarantineFixture.parts("a " + REQUEST);
        assertInstanceOf(QuarantineView.Decision.Trial.class, view.decide(QuarantineFixture.DESK, parts, false, 0));
        assertInstanceOf(QuarantineView.Decision.Held.class, view.decide(QuarantineFixture.DESK, parts, true, 0));
    }

    /** A sound request beside the cause on two servers, of which the cause ends a third one. */
    @Test
    void requestBesideTheCauseIsReleased() {
        for (String server : List.of("s1", "s2")) {
            fixture.crash(server, "sound", "a request:sound");
            fixture.crash(server, "bad on " + server, "a " + REQUEST);
        }
        assertEquals(2, fixture.groups(SUSPECTED).size());
        crash("s3");
        assertEquals(List.of(REQUEST), fixture.groups(QUARANTINED));
        assertEquals(List.of(), fixture.groups(SUSPECTED));
    }

    /** A server under load ends with all calls that it runs or that wait there. */
    @Test
    void causeIsCountedAmongManyCallsOfAServer() {
        for (String server : List.of("s1", "s2", "s3")) {
            for (int i = 0; i < 40; i++) {
                fixture.crash(server, "sound", "request:" + server + i);
            }
            fixture.crash(server, "bad", REQUEST);
        }
        assertEquals(List.of(REQUEST), fixture.groups(QUARANTINED));
    }

    /** A sound call loses two servers to two causes, and its own report of the second comes before that of the cause. */
    @Test
    void callBesideTwoCausesDoesNotAccuseWhatTheyShare() {
        fixture.crash("s2", "bad1", "common bad request:bad1");
        fixture.crash("s1", "bad1", "common bad request:bad1");
        fixture.crash("s1", "sound", "common request:sound");
        fixture.crash("s10", "bad1", "common bad request:bad1");
        fixture.crash("s5", "sound", "common request:sound");
        fixture.crash("s5", "bad2", "common bad request:bad2");
        assertFalse(fixture.groups(SUSPECTED).contains("common"), "suspected: " + fixture.groups(SUSPECTED));
    }

    /** A sound call loses three servers to two causes, and is refused for it before the cause of the third is reported. */
    @Test
    void callThatLostThreeServersBesideTwoCausesIsNotRefused() {
        for (String server : List.of("s3", "s11", "s12")) {
            fixture.crash(server, "bad1", "common bad request:bad1");
        }
        fixture.crash("s11", "sound", "common request:sound");
        fixture.crash("s12", "sound", "common request:sound");
        fixture.crash("s12", "bad2", "common bad request:bad2");
        fixture.crash("s2", "other", "common request:other");
        fixture.crash("s2", "sound", "common request:sound");
        fixture.crash("s2", "bad2", "common bad request:bad2");
        assertFalse(
                fixture.groups(QUARANTINED).contains("request:sound"),
                fixture.groups(QUARANTINED).toString());
        assertFalse(
                fixture.groups(SUSPECTED).contains("request:sound"),
                fixture.groups(SUSPECTED).toString());
    }

    /** A request that ends its servers is refused once nothing else explains them, however that comes about. */
    @Test
    void requestIsRefusedOnceTheGroupThatExplainedItIsReleased() {
        fixture.crash("s1", "x", "a request:x");
        fixture.crash("s2", "y", "a request:y");
        for (String server : List.of("s3", "s4", "s5")) {
            fixture.crash(server, "bad on " + server, "a " + REQUEST);
        }
        fixture.pass("a");
        fixture.advanceMillis(300);
        assertEquals(List.of(REQUEST), fixture.groups(QUARANTINED));
    }

    /** Servers that ended under prompts with a known part say nothing against the requests beside it. */
    @Test
    void requestBesideAKnownPartIsNotSuspect() {
        for (int i = 0; i < 4; i++) {
            fixture.crash("s" + i, "q" + i, "bad request:" + i);
            fixture.advanceMillis(50);
        }
        fixture.passOfOthers();
        fixture.advanceMillis(300);
        assertEquals(List.of("bad"), fixture.groups(QUARANTINED));
        for (String server : List.of("t1", "t2")) {
            fixture.crash(server, "bad on " + server, "bad request:" + server);
            fixture.crash(server, "sound", "a request:sound");
        }
        assertEquals(List.of(), fixture.groups(SUSPECTED));
    }

    /** Entries are sent what anything speaks against; a loss of many servers would name thousands of requests. */
    @Test
    void newsNamesNoRequestThatLostOneServer() {
        for (int i = 0; i < 100; i++) {
            fixture.crash("s" + i / 10, "q" + i, "a request:lost" + i);
        }
        List<SuspectParts> suspects = fixture.registry.news(fixture.now()).suspects();
        assertEquals(QuarantineFixture.parts("a"), suspects.get(0).parts());
    }

    /** A loss of many servers makes many requests suspect. */
    @Test
    void suspectRequestsDisplaceNoPart() {
        for (int i = 0; i < 4; i++) {
            fixture.crash("s" + i, "q" + i, "bad request:" + i);
            fixture.advanceMillis(50);
        }
        fixture.passOfOthers();
        fixture.advanceMillis(300);
        for (int i = 0; i < 100; i++) {
            fixture.crash("t" + i, "first " + i, "request:lost" + i);
            fixture.crash("u" + i, "second " + i, "request:lost" + i);
        }
        assertEquals(List.of("bad"), fixture.groups(QUARANTINED));
        assertEquals(63, fixture.groups(SUSPECTED).size());
    }

    /** What an operator has decided is not eased by evidence that would be too little. */
    @Test
    void suspicionDoesNotReplaceAnOperatorsQuarantine() {
        fixture.registry.quarantineByOperator(QuarantineFixture.DESK, QuarantineFixture.group(REQUEST), fixture.now());
        crash("s1");
        crash("s2");
        assertEquals(List.of(REQUEST), fixture.groups(QUARANTINED));
    }
}
