package org.elmline.core.raft;

import java.util.ArrayList;
import java.util.List;

/** Messages queued since the last {@link Ready}. */
final class Outbox {
    private final List<Message> messages = new ArrayList<>();

    void send(Message message) {
        messages.add(message);
    }

    boolean isEmpty() {
        return messages.isEmpty();
    }

    /**
     * Removes and returns the messages that are from a leader, or those that are not, in their order.
     *
     * @param fromLeader which of the two to return, see {@link Message#fromLeader}
     */
    List<Message> drain(boolean fromLeader) {
        List<Message> result = new ArrayList<>();
        for (Message each : messages) {
            if (each.fromLeader() == fromLeader) {
                result.add(each);
            }
        }
        messages.removeAll(result);
        return result;
    }

    List<Message> drainAll() {
        List<Message> result = List.copyOf(messages);
        messages.clear();
        return result;
    }
}
