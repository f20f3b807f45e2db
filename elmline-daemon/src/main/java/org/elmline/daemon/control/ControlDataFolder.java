package org.elmline.daemon.control;

import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;

import org.elmline.core.common.HostId;
import org.elmline.core.raft.Membership;
import org.elmline.daemon.settings.ControlSettings;
import org.elmline.storage.DataFolder;
import org.elmline.storage.OpenResult;
import org.elmline.storage.StoreResult;
import org.elmline.storage.SystemFiles;

/** Opens a control host's data folder and initialises the first one of a new deployment. */
public final class ControlDataFolder {
    private static final int SEGMENT_BYTES = 8 * 1024 * 1024;

    private ControlDataFolder() {}

    /**
     * Opens the folder.
     *
     * @throws IOException when the folder can't be used; its message names the reason and the folder
     */
    static OpenResult.Opened open(Path folder, HostId host) throws IOException {
        OpenResult result = DataFolder.open(new SystemFiles(), folder, host, new SecureRandom(), SEGMENT_BYTES);
        if (result instanceof OpenResult.Opened opened) {
            return opened;
        }
        if (result instanceof OpenResult.Locked) {
            throw new IOException("data folder " + folder + " is in use by another process");
        }
        if (result instanceof OpenResult.Corrupt corrupt) {
            throw new IOException("data folder " + folder + " is damaged: " + corrupt.corruption()
                    + ". Move it away and start anew: the host then joins under a new identity");
        }
        if (result instanceof OpenResult.DiskFull full) {
            throw new IOException("no room for data folder " + folder + ": " + full.reason());
        }
        throw new IOException("data folder " + folder + ": " + ((OpenResult.Failed) result).reason());
    }

    /**
     * Makes this host the first voter of a new deployment. To be run once, on one host, and never as part of a start:
     * on a host that lost its disk it would create a second deployment without the state of the first. For that reason
     * it rejects a folder that has ever been used.
     *
     * @throws IOException when the folder is in use or the membership can't be stored
     */
    public static void bootstrap(ControlSettings settings) throws IOException {
        OpenResult.Opened opened = open(settings.dataFolder(), settings.host());
        try (DataFolder folder = opened.folder()) {
            if (opened.restored().hardState().term() > 0
                    || !opened.restored().entries().isEmpty()
                    || opened.restored().snapshot() != null) {
                throw new IOException("data folder " + settings.dataFolder() + " is in use already");
            }
            StoreResult stored = folder.bootstrap(Membership.ofVoters(List.of(folder.identity())));
            if (!(stored instanceof StoreResult.Done)) {
                throw new IOException("data folder " + settings.dataFolder() + ": " + stored);
            }
        }
    }
}
