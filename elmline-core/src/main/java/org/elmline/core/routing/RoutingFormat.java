package org.elmline.core.routing;

/** Reads the document in which operators write a routing table. A plug-in, found by {@link java.util.ServiceLoader}. */
public interface RoutingFormat {
    /** The table that the document describes, or why it describes none. */
    RoutingTable.BuildResult read(byte[] document);
}
