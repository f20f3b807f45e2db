package org.elmline.core.control;

import org.elmline.core.peer.Channel;

/** What entries serve to the control leader, so that it can order engines. */
public final class OrderChannels {
    public static final Channel<ObserveRequest, ObserveAnswer> OBSERVE =
            new Channel<>("orders.observe", ObserveRequest.class, ObserveAnswer.class);

    private OrderChannels() {}
}
