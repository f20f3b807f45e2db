package org.elmline.daemon.gateway;

import java.util.List;

import io.undertow.server.HttpHandler;
import org.elmline.core.common.Address;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.Region;

/** How callers ask which entries to use; translates and decides nothing. */
public interface DirectoryProtocol {
    /** Answers callers, who may keep an answer for some seconds. */
    HttpHandler directoryHandler(EntryLookup entries, int keepSeconds);

    /** Where the callers of a place should connect. */
    interface EntryLookup {
        /** Addresses in random order, empty when no entry is known to serve. */
        List<Address> addressesFor(Region region, FailureDomain domain);
    }
}
