package org.elmline.core.routing;

/** Parses the document that describes a routing table. A plug-in, found by {@link java.util.ServiceLoader}. */
public interface RoutingFormat {
    /** Returns the table that the document describes, or the reason why the document is invalid. */
    RoutingTable.BuildResult read(byte[] document);
}
