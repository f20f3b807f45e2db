package org.elmline.daemon.gateway;

import org.elmline.core.memory.UnansweredBytes;
import org.elmline.wire.tcp.PeerKey;

/** The parts that every request to a backend server uses. */
record BackendAccess(
        ServerLinks links, CallProtocol protocol, BackendGate gate, PeerKey peerKey, UnansweredBytes unanswered) {}
