package org.elmline.cli.operator;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import com.fasterxml.jackson.databind.JsonNode;
import okhttp3.HttpUrl;
import org.elmline.core.timeline.EventPage;
import org.elmline.core.timeline.EventQuery;
import org.elmline.core.timeline.TimelineMerge;
import org.elmline.wire.codec.Codecs;
import org.elmline.wire.codec.Decoded;

/** Requests the events of many hosts at once and merges the answers. */
final class TimelineReader {
    private static final String STATUS_PATH = "/v1/status";
    private static final int MAX_CONCURRENT_REQUESTS = 32;

    private final OperatorClient client;

    TimelineReader(OperatorClient client) {
        this.client = client;
    }

    /** The given hosts, and every entry host that the first of them to answer lists. */
    Set<HttpUrl> discoverHosts() {
        Set<HttpUrl> known = new LinkedHashSet<>(client.hosts());
        if (client.get(STATUS_PATH) instanceof OperatorAnswer.Done done) {
            for (JsonNode host : done.body().path("entryHosts")) {
                HttpUrl url = HttpUrl.parse("http://" + host.path("operators").asText());
                if (url != null) {
                    known.add(url);
                }
            }
        }
        return known;
    }

    MergedTimeline read(Set<HttpUrl> hosts, EventQuery query) throws InterruptedException {
        List<EventPage> pages = new ArrayList<>();
        List<String> missing = new ArrayList<>();
        ExecutorService executor = Executors.newFixedThreadPool(Math.min(MAX_CONCURRENT_REQUESTS, hosts.size()));
        try {
            List<Future<OperatorAnswer>> answers = new ArrayList<>();
            for (HttpUrl host : hosts) {
                answers.add(executor.submit(() -> client.readFrom(host, EventsPath.of(query))));
            }
            for (Future<OperatorAnswer> answer : answers) {
                addAnswer(answer.get(), pages, missing);
            }
        } catch (ExecutionException e) {
            throw new IllegalStateException("request for a host's events failed with an unexpected exception", e);
        } finally {
            executor.shutdownNow();
        }
        return new MergedTimeline(TimelineMerge.merge(pages, query), pages, missing);
    }

    private static void addAnswer(OperatorAnswer answer, List<EventPage> pages, List<String> missing) {
        if (answer instanceof OperatorAnswer.Unreachable unreachable) {
            missing.add(unreachable.message());
        } else if (answer instanceof OperatorAnswer.Refused refused) {
            missing.add(refused.status() + " " + ErrorText.of(refused.body()));
        } else if (answer instanceof OperatorAnswer.Done done) {
            byte[] body = Codecs.JSON.encode(done.body());
            if (Codecs.JSON.decode(body, EventPage.class) instanceof Decoded.Value<EventPage> page) {
                pages.add(page.value());
            } else {
                missing.add("a host answered with something else than events");
            }
        }
    }
}
