package org.elmline.core.routing;

/** Parses the document that describes a routing table. A plug-in, found by {@link java.util.ServiceLoader}. */
public interface RoutingFormat {
    /** Returns the table that the document describes, or the reason why the document is invalid. */
    RoutingTable.BuildResult read(byte[] document);

    /**
     * Returns the table that a submitted document describes, or the reason why it is refused. May refuse more than {@link
     * #read}, which must accept the documents that earlier releases accepted, as one of them may be in force.
     */
    default RoutingTable.BuildResult readSubmitted(byte[] document) {
        return read(document);
    }
}
