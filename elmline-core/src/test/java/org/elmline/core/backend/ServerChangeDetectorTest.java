package org.elmline.core.backend;

import java.util.ArrayList;
import java.util.List;

import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.Region;
import org.elmline.core.timeline.BackendEvent;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

class ServerChangeDetectorTest {
    /** A snapshot lists servers as name, incarnation and {@code !} if leaving. Events: + joined, ! leaving, - lost. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
            ''          | ''           | ''
            ''          | a1           | +a
            ''          | a1!          | +a !a
            a1          | a1           | ''
            a1          | a1 b1        | +b
            a1          | a1!          | !a
            a1!         | a1!          | ''
            a1!         | ''           | ''
            a1          | ''           | -a
            a1          | a2           | +a
            a1!         | a2           | +a
            a1!         | a1           | +a
            a1 b1       | b1!          | -a !b
            a1 b1       | c1 b2        | -a +c +b
            """)
    void detectsChangesBetweenSnapshots(String before, String after, String events) {
        ServerChangeDetector detector = new ServerChangeDetector();
        detector.detect(snapshot(before));
        assertEquals(events, String.join(" ", words(detector.detect(snapshot(after)))));
        assertEquals(List.of(), detector.detect(snapshot(after)));
    }

    private static List<Announcement> snapshot(String text) {
        List<Announcement> servers = new ArrayList<>();
        for (String word : text.isEmpty() ? new String[0] : text.split(" ")) {
            Announcement server = server(word.substring(0, 1), word.charAt(1) - '0');
            servers.add(word.endsWith("!") ? server.asLeaving() : server);
        }
        return servers;
    }

    private static Announcement server(String id, int incarnation) {
        return new Announcement(
                BackendServerId.of(id),
                Incarnation.of(incarnation),
                BackendKind.SERVICE,
                null,
                new Address("127.0.0.1", 9),
                FailureDomain.of("a"),
                Region.of("r"),
                List.of("booking"),
                List.of("1"),
                null,
                null,
                0,
                0,
                null,
                false,
                false);
    }

    private static List<String> words(List<BackendEvent> events) {
        List<String> words = new ArrayList<>();
        for (BackendEvent each : events) {
            String sign = each instanceof BackendEvent.Joined ? "+" : each instanceof BackendEvent.Lost ? "-" : "!";
            words.add(sign + each.server());
        }
        return words;
    }
}
