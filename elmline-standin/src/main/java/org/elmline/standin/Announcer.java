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
 * Announces a backend server to elmline periodically, from one thread. Each round tries the addresses that the last
 * answer named, then the seed addresses, until one of them accepts. Thread-safe.
 */
public final class Announcer implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(Announcer.class);
    private static final MediaType JSON = MediaType.get("application/json");
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final long POLL_MILLIS = 20;
    private static final long INITIAL_INTERVAL_MILLIS = 500;
    private static final long MAX_INTERVAL_MILLIS = 10_000;

    private final List<Address> seedAddresses;
    private final String backendKey;
    private final Supplier<Announcement> announcement;
    private final OkHttpClient client =
            new OkHttpClient.Builder().callTimeout(TIMEOUT).build();
    private final Thread thread;
    private List<Address> nextAddresses;
    private long intervalMillis = INITIAL_INTERVAL_MILLIS;
    private boolean announceRequested;
    private long startedRounds;
    private long finishedRounds;
    private volatile boolean closed;
    private boolean lastRoundSucceeded;

    public Announcer(List<Address> seedAddresses, String backendKey, Supplier<Announcement> announcement) {
        this.seedAddresses = List.copyOf(seedAddresses);
        this.backendKey = backendKey;
        this.announcement = announcement;
        nextAddresses = this.seedAddresses;
        thread = new Thread(this::run, "announcer");
        thread.setDaemon(true);
    }

    public void start() {
        if (!seedAddresses.isEmpty()) {
            thread.start();
        }
    }

    /**
     * Announces at once instead of at the next interval, and waits until the attempt has ended or the limit has passed.
     * A backend server that left without waiting could exit before any entry host received the announcement that it
     * leaves.
     */
    public synchronized void announceNow(Duration limit) throws InterruptedException {
        if (seedAddresses.isEmpty()) {
            return;
        }
        // A round in progress may carry the state from before this call, so wait for the round after it.
        long target = startedRounds + 1;
        long deadline = System.nanoTime() + limit.toNanos();
        announceRequested = true;
        notifyAll();
        while (finishedRounds < target && !closed && System.nanoTime() < deadline) {
            wait(POLL_MILLIS);
        }
    }

    /** Stops at once without announcing that the backend server leaves, as a killed one does. */
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
            awaitNextRound();
        }
    }

    private synchronized void beginRound() {
        startedRounds++;
        announceRequested = false;
    }

    private synchronized void endRound() {
        finishedRounds = startedRounds;
        notifyAll();
    }

    private synchronized void awaitNextRound() {
        try {
            long deadline = System.nanoTime() + intervalMillis * 1_000_000;
            while (!announceRequested && !closed && System.nanoTime() < deadline) {
                wait(Math.max(1, (deadline - System.nanoTime()) / 1_000_000));
            }
        } catch (InterruptedException e) {
            closed = true;
        }
    }

    private void announceToAny() {
        byte[] body = EngineJson.write(announcement.get());
        List<Address> candidates = new ArrayList<>(nextAddresses);
        for (Address seed : seedAddresses) {
            if (!candidates.contains(seed)) {
                candidates.add(seed);
            }
        }
        for (Address each : candidates) {
            if (closed) {
                return;
            }
            if (announceTo(each, body)) {
                recordOutcome(true, each);
                return;
            }
        }
        recordOutcome(false, candidates.get(0));
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
            intervalMillis = Math.max(50, Math.min(answer.intervalMillis(), MAX_INTERVAL_MILLIS));
            nextAddresses = answer.announceTo();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private void recordOutcome(boolean succeeded, Address address) {
        if (succeeded != lastRoundSucceeded) {
            LOG.infof("announcing to %s %s", address, succeeded ? "succeeds" : "fails");
        }
        lastRoundSucceeded = succeeded;
    }
}
