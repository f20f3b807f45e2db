package org.elmline.daemon.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.elmline.daemon.log.DecisionLog;

/** Reads the settings file again when a signal says so, and now and then without one; tells when it has changed. */
public final class SettingsFileWatcher implements AutoCloseable {
    /** Pause between two looks: a change without a signal is in force within about this. */
    private static final long POLL_INTERVAL_MILLIS = 2_000;

    private final Path file;
    private final DecisionLog log;
    private final Consumer<NodeSettings> onChange;
    private final ScheduledExecutorService timer;
    private byte[] lastContent;

    /** @param onChange gets valid settings that differ from the last ones */
    public SettingsFileWatcher(Path file, DecisionLog log, Consumer<NodeSettings> onChange) throws IOException {
        this.file = file;
        this.log = log;
        this.onChange = onChange;
        this.lastContent = Files.readAllBytes(file);
        this.timer = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "settings");
            thread.setDaemon(true);
            return thread;
        });
        timer.scheduleWithFixedDelay(
                this::reloadIfChanged, POLL_INTERVAL_MILLIS, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Looks at the file now. */
    public synchronized void reloadIfChanged() {
        byte[] content;
        try {
            content = Files.readAllBytes(file);
        } catch (IOException e) {
            log.line("settings not read").with("why", e).write();
            return;
        }
        if (Arrays.equals(content, lastContent)) {
            return;
        }
        lastContent = content;
        NodeSettings.ParseResult read = NodeSettings.read(content);
        if (read instanceof NodeSettings.ParseResult.Valid valid) {
            log.line("settings reloaded")
                    .with("controlHosts", valid.settings().controlHosts())
                    .write();
            onChange.accept(valid.settings());
        } else {
            log.line("settings refused")
                    .with("why", ((NodeSettings.ParseResult.Invalid) read).problems())
                    .write();
        }
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }
}
