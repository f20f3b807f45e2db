package org.elmline.daemon.coordinator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

import org.elmline.core.common.Address;
import org.elmline.core.common.HostId;
import org.elmline.core.raft.Membership;
import org.elmline.core.raft.ReplicaId;
import org.elmline.core.raft.RestoredState;
import org.elmline.daemon.log.DecisionLog;
import org.elmline.daemon.node.NodeSettings;
import org.elmline.storage.DataFolder;
import org.elmline.storage.OpenResult;
import org.elmline.storage.StoreResult;
import org.elmline.storage.SystemFiles;

/**
 * Opens a control host's data folder. At the first start of a cluster the hosts in the settings are its voters, each
 * under the same fixed incarnation, so that they may start in any order. Any other empty folder gets a new identity and
 * joins: its predecessor's votes are lost, so voting under the old identity could elect two leaders in one term.
 */
final class CoordinatorDataFolder {
    /** Log segments are small, as the disk is. */
    private static final int SEGMENT_BYTES = 2 * 1024 * 1024;

    private static final long FIRST_INCARNATION = 0;
    private static final long RETRY_DELAY_MILLIS = 200;

    private final NodeSettings settings;
    private final DecisionLog log;

    CoordinatorDataFolder(NodeSettings settings, DecisionLog log) {
        this.settings = settings;
        this.log = log;
    }

    /**
     * Opens the folder and retries until that succeeds, for example while the disk is full. A corrupt folder is
     * cleared.
     */
    OpenResult.Opened open() throws IOException, InterruptedException {
        while (true) {
            OpenResult result = tryOpen();
            if (result instanceof OpenResult.Opened opened) {
                return isFirstVoter() && isFresh(opened.restored()) ? bootstrap(opened) : opened;
            }
            log.line("data folder not opened").with("why", result).write();
            if (result instanceof OpenResult.Corrupt) {
                // Synced entries and votes are lost, so this host must not act under its old identity; it joins under a
                // new one.
                clear(settings.dataFolder());
            }
            Thread.sleep(RETRY_DELAY_MILLIS);
        }
    }

    private OpenResult tryOpen() {
        RandomGenerator identities = isFirstVoter() ? () -> FIRST_INCARNATION : new SecureRandom();
        return DataFolder.open(new SystemFiles(), settings.dataFolder(), settings.host(), identities, SEGMENT_BYTES);
    }

    private boolean isFirstVoter() {
        return settings.firstStart()
                && settings.controlHosts().stream().anyMatch(each -> each.ip().equals(settings.ip()));
    }

    private static boolean isFresh(RestoredState restored) {
        return restored.hardState().term() == 0 && restored.entries().isEmpty() && restored.snapshot() == null;
    }

    private OpenResult.Opened bootstrap(OpenResult.Opened opened) throws IOException {
        List<ReplicaId> voters = new ArrayList<>();
        for (Address each : settings.controlHosts()) {
            voters.add(new ReplicaId(HostId.of(each.ip()), FIRST_INCARNATION));
        }
        if (!voters.contains(opened.folder().identity())) {
            return opened;
        }
        Membership first = Membership.ofVoters(voters);
        StoreResult stored = opened.folder().bootstrap(first);
        if (!(stored instanceof StoreResult.Done)) {
            throw new IOException("the first membership can't be stored: " + stored);
        }
        return new OpenResult.Opened(opened.folder(), RestoredState.bootstrap(first));
    }

    private static void clear(Path folder) throws IOException {
        List<Path> files;
        try (Stream<Path> listed = Files.list(folder)) {
            files = listed.toList();
        }
        for (Path each : files) {
            Files.deleteIfExists(each);
        }
    }
}
