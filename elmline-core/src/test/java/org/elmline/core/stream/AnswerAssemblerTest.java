package org.elmline.core.stream;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.elmline.core.common.AttemptId;
import org.elmline.core.common.Ran;
import org.elmline.core.engine.FinishReason;
import org.elmline.core.engine.StreamEvent;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

class AnswerAssemblerTest {
    private static final AttemptId FIRST = AttemptId.of("attempt-0");
    private static final AttemptId CROSSED = AttemptId.of("other");

    /**
     * Pieces of the current attempt come out of order, duplicated and with losses, mixed with pieces and ends of
     * another caller's attempt and late ones of replaced attempts. The stream breaks at times and is resumed from the
     * offset, or continues on another engine. The caller must get pieces 0 to n, each once, and then the end.
     */
    @Property(tries = 500, seed = "5004")
    void callerGetsEachPieceOnceInOrder(@ForAll long seed) {
        Random random = new Random(seed);
        int count = random.nextInt(40);
        AnswerAssembler assembler = new AnswerAssembler(FIRST);
        List<String> caller = new ArrayList<>();
        List<StreamEvent> late = new ArrayList<>();
        for (int read = 0; !assembler.finished(); read++) {
            assertTrue(read < 500, "not complete after 500 reads");
            List<StreamEvent> events = events(assembler, count, random, read > 400);
            events.addAll(late);
            Collections.shuffle(events, random);
            for (StreamEvent each : events) {
                deliver(assembler.accept(each), caller, count);
            }
            if (!assembler.finished() && random.nextInt(3) == 0) {
                late = events;
                assembler.continueWith(AttemptId.of("attempt-" + (read + 1)));
            }
        }
        assertEquals(expected(count), caller);
        assertInstanceOf(AssemblyResult.Ignored.class, assembler.accept(piece(assembler.attempt(), 0)));
    }

    private static List<StreamEvent> events(AnswerAssembler assembler, int count, Random random, boolean reliable) {
        List<StreamEvent> events = new ArrayList<>();
        for (int i = assembler.resumeOffset(); i < count; i++) {
            int copies = reliable ? 1 : random.nextInt(3);
            for (int copy = 0; copy < copies; copy++) {
                events.add(piece(assembler.attempt(), i));
            }
            if (random.nextInt(4) == 0) {
                events.add(new StreamEvent.Piece(CROSSED, i, "crossed"));
            }
        }
        if (reliable || random.nextBoolean()) {
            events.add(new StreamEvent.End(assembler.attempt(), count, FinishReason.STOP));
        }
        events.add(new StreamEvent.End(CROSSED, random.nextInt(count + 1), FinishReason.LENGTH));
        return events;
    }

    private static void deliver(AssemblyResult assembled, List<String> caller, int count) {
        if (assembled instanceof AssemblyResult.Deliver deliver) {
            caller.addAll(deliver.pieces());
        }
        if (assembled instanceof AssemblyResult.Complete complete) {
            caller.addAll(complete.pieces());
            assertEquals(count, caller.size(), "ended before all pieces came");
            assertEquals(FinishReason.STOP, complete.reason());
        }
        assertTrue(!(assembled instanceof AssemblyResult.Broken), () -> "stream broken: " + assembled);
    }

    @Test
    void contradictoryEventsBreakTheStream() {
        StreamEvent[][] cases = {
            {piece(FIRST, 3), new StreamEvent.End(FIRST, 2, FinishReason.STOP)},
            {new StreamEvent.End(FIRST, 2, FinishReason.STOP), piece(FIRST, 2)},
            {piece(FIRST, 0), new StreamEvent.Failed(FIRST, Ran.UNKNOWN, "connection lost")},
        };
        int broken = 0;
        for (StreamEvent[] each : cases) {
            AnswerAssembler assembler = new AnswerAssembler(FIRST);
            assembler.accept(each[0]);
            broken += assembler.accept(each[1]) instanceof AssemblyResult.Broken ? 1 : 0;
        }
        assertEquals(3, broken);
    }

    @Test
    void buffersBoundedNumberOfPieces() {
        AnswerAssembler assembler = new AnswerAssembler(FIRST);
        for (int i = 1; i <= 256; i++) {
            assembler.accept(piece(FIRST, i));
        }
        assertTrue(assembler.isMissingPieces());
        assertInstanceOf(AssemblyResult.Broken.class, assembler.accept(piece(FIRST, 257)));
        assertEquals(
                257,
                assertInstanceOf(AssemblyResult.Deliver.class, assembler.accept(piece(FIRST, 0)))
                        .pieces()
                        .size());
    }

    @Test
    void duplicatePieceIsNotBuffered() {
        AnswerAssembler assembler = new AnswerAssembler(FIRST);
        assembler.accept(piece(FIRST, 0));
        assertEquals(
                new AssemblyResult.Ignored(AssemblyResult.IgnoreReason.DUPLICATE), assembler.accept(piece(FIRST, 0)));
        assertTrue(!assembler.isMissingPieces(), "would be resumed needlessly");
    }

    private static StreamEvent piece(AttemptId attempt, int index) {
        return new StreamEvent.Piece(attempt, index, "piece " + index);
    }

    private static List<String> expected(int count) {
        List<String> pieces = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            pieces.add("piece " + i);
        }
        return pieces;
    }
}
