package org.elmline.core.memory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.elmline.core.common.BackendServerId;

/**
 * Bytes of the requests that this process has sent to each backend server and that are not answered yet. A server that
 * reads slowly accumulates them and may exceed its memory. Not safe for concurrent use.
 */
public final class UnansweredBytes {
    private final long boundBytes;
    private final Map<BackendServerId, Long> bytesByServer = new HashMap<>();
    private final Set<BackendServerId> overBound = new HashSet<>();

    /** @param boundBytes bytes above which a server is passed over, {@link MemoryAccount#UNBOUNDED} for never */
    public UnansweredBytes(long boundBytes) {
        this.boundBytes = boundBytes;
    }

    /** Adds the body of a request that is sent; negative bytes remove one that is answered or has ended. */
    public void add(BackendServerId server, long bytes) {
        if (bytes == 0) {
            return;
        }
        long sum = bytesByServer.merge(server, bytes, Long::sum);
        if (sum == 0) {
            bytesByServer.remove(server);
        }
        if (sum > boundBytes) {
            overBound.add(server);
        } else {
            overBound.remove(server);
        }
    }

    /** Bytes that a server has not answered. */
    public long of(BackendServerId server) {
        return bytesByServer.getOrDefault(server, 0L);
    }

    /** Whether a server is above the bound. */
    public boolean isAnyOverBound() {
        return !overBound.isEmpty();
    }

    /**
     * The servers above the bound, if there is another one to use; none otherwise.
     *
     * @param servers the servers of the service that accept work
     * @param avoided servers that are not to be used for other reasons
     */
    public List<BackendServerId> passedOver(Collection<BackendServerId> servers, Collection<BackendServerId> avoided) {
        List<BackendServerId> passedOver = new ArrayList<>();
        boolean other = false;
        for (BackendServerId each : servers) {
            if (overBound.contains(each)) {
                passedOver.add(each);
            } else {
                other |= !avoided.contains(each);
            }
        }
        return other ? passedOver : List.of();
    }
}
