package org.elmline.standin;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.elmline.core.backend.AnnounceAnswer;
import org.elmline.core.backend.Announcement;
import org.elmline.core.common.Address;
import org.elmline.wire.engine.EngineJson;
import org.elmline.wire.engine.EnginePaths;
import org.jboss.logging.Logger;

/**
 * Announces a backend server to elmline again and again, from one thread. Goes to the addresses that the last answer
 * named, and when none of them answers, to those it was started with.
 */
public final class Announcer implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(Announcer.class);
    private static final MediaType JSON = MediaType.get("application/json");
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final long POLL_MILLIS = 20;
    private static final long FIRST_INTERVAL_MILLIS = 500;
    private static final long LONGEST_INTERVAL_MILLIS = 10_000;

    private final List<Address> seeds;
    private final String backendKey;
    private final Supplier<Announcement> announcement;
    private final OkHttpClient client =
            new OkHttpClient.Builder().callTimeout(TIMEOUT).build();
    private final Thread thread;
    private List<Address> next;
    private long intervalMillis = FIRST_INTERVAL_MILLIS;
    private boolean wanted;
    private long startedRounds;
    private long finishedRounds;
    private volatile boolean closed;
    private boolean reached;

    public Announcer(List<Address> seeds, String backendKey, Supplier<Announcement> announcement) {
        this.seeds = List.copyOf(seeds);
        this.backendKey = backendKey;
        this.announcement = announcement;
        next = this.seeds;
        thread = new Thread(this::run, "announcer");
        thread.setDaemon(true);
    }

    public void start() {
        if (!seeds.isEmpty()) {
            thread.start();
        }
    }

    /**
     * Announces now in place of at the next interval, and waits until that was tried or the time is over. A backend
     * server that left without waiting could be gone before anybody heard that it leaves.
     */
    public synchronized void announceNow(Duration limit) throws InterruptedException {
        if (seeds.isEmpty()) {
            return;
        }
        // A round in progress may carry the state from before this call, so the one after it is waited for.
        long target = startedRounds + 1;
        long deadline = System.nanoTime() + limit.toNanos();
        wanted = true;
        notifyAll();
        while (finishedRounds < target && !closed && System.nanoTime() < deadline) {
            wait(POLL_MILLIS);
        }
    }

    /** Stops at once, without a farewell: what a killed backend server does. */
    @Override
    public void close() {
        closed = true;
        client.dispatcher().cancelAll();
        synchronized (this) {
            notifyAll();
        }
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    private void run() {
        while (!closed) {
            beginRound();
            announceToAny();
            endRound();
            pause();
        }
    }

    private synchronized void beginRound() {
        startedRounds++;
        wanted = false;
    }

    private synchronized void endRound() {
        finishedRounds = startedRounds;
        notifyAll();
    }

    private synchronized void pause() {
        try {
            long deadline = System.nanoTime() + intervalMillis * 1_000_000;
            while (!wanted && !closed && System.nanoTime() < deadline) {
                wait(Math.max(1, (deadline - System.nanoTime()) / 1_000_000));
            }
        } catch (InterruptedException e) {
            closed = true;
        }
    }

    private void announceToAny() {
        byte[] body = EngineJson.write(announcement.get());
        List<Address> candidates = new ArrayList<>(next);
        for (Address seed : seeds) {
            if (!candidates.contains(seed)) {
                candidates.add(seed);
            }
        }
        for (Address each : candidates) {
            if (closed) {
                return;
            }
            if (announceTo(each, body)) {
                noteReached(true, each);
                return;
            }
        }
        noteReached(false, candidates.get(0));
    }

    private boolean announceTo(Address address, byte[] body) {
        Request request = new Request.Builder()
                .url("http://" + address + EnginePaths.ANNOUNCE)
                .header("Authorization", "Bearer " + backendKey)
                .post(RequestBody.create(body, JSON))
                .build();
        try (Response response = client.newCall(request).execute()) {
            if (!response.isSuccessful()) {
                return false;
            }
            AnnounceAnswer answer = EngineJson.read(response.body().bytes(), AnnounceAnswer.class);
            intervalMillis = Math.max(50, Math.min(answer.intervalMillis(), LONGEST_INTERVAL_MILLIS));
            next = answer.announceTo();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private void noteReached(boolean now, Address address) {
        if (now != reached) {
            LOG.infof("announcing to %s %s", address, now ? "succeeds" : "fails");
        }
        reached = now;
    }
}
