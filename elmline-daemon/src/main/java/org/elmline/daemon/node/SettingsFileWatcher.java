package org.elmline.daemon.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.elmline.daemon.log.DecisionLog;
import org.elmline.daemon.runtime.TaskTimer;

/**
 * Reads the settings file again on request, such as after a signal, and periodically; notifies a listener when valid
 * settings have changed. Safe for use by many threads.
 */
public final class SettingsFileWatcher implements AutoCloseable {
    /** Time between two checks of the file, and so about the longest delay of a change that no signal announces. */
    private static final long POLL_INTERVAL_MILLIS = 2_000;

    private final Path file;
    private final DecisionLog log;
    private final Consumer<NodeSettings> onChange;
    private final ScheduledExecutorService timer;
    private byte[] lastContent;

    /**
     * @param content the content that the process has read, with which the file is compared
     * @param onChange receives valid settings if the file's content has changed
     */
    public SettingsFileWatcher(Path file, byte[] content, DecisionLog log, Consumer<NodeSettings> onChange) {
        this.file = file;
        this.log = log;
        this.onChange = onChange;
        this.lastContent = content.clone();
        this.timer = new TaskTimer(1, task -> {
            Thread thread = new Thread(task, "settings");
            thread.setDaemon(true);
            return thread;
        });
        timer.scheduleWithFixedDelay(
                this::reloadIfChanged, POLL_INTERVAL_MILLIS, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Reads the file content and notifies the listener if its content has changed and is valid. */
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
            apply(valid.settings());
        } else {
            log.line("settings refused")
                    .with("why", ((NodeSettings.ParseResult.Invalid) read).problems())
                    .write();
        }
    }

    /** An exception would end the periodic check of the file. */
    private void apply(NodeSettings settings) {
        try {
            onChange.accept(settings);
        } catch (RuntimeException e) {
            log.line("settings not applied").with("why", e).write();
        }
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }
}
