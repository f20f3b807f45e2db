package org.elmline.daemon.gateway;

import java.util.List;

import io.undertow.server.HttpHandler;
import org.elmline.core.common.Address;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.Region;

/** Translates callers' look-ups of entries. Implementations make no decisions. */
public interface DirectoryProtocol {
    /** Creates the handler of look-ups, whose answers callers may cache for {@code keepSeconds}. */
    HttpHandler directoryHandler(EntryLookup entries, int keepSeconds);

    /** Finds the entries to which the callers of a region and failure domain should connect. */
    interface EntryLookup {
        /** Addresses in random order, empty when no entry is known to serve. */
        List<Address> addressesFor(Region region, FailureDomain domain);
    }
}
