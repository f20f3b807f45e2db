package org.elmline.core.control;

import org.elmline.core.peer.Channel;

/** Channels that entries serve to the control leader, so that it can send orders to engines. */
public final class OrderChannels {
    public static final Channel<ObserveRequest, ObserveAnswer> OBSERVE =
            new Channel<>("orders.observe", ObserveRequest.class, ObserveAnswer.class);

    private OrderChannels() {}
}
