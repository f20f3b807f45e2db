package org.elmline.core.raft;

import java.util.ArrayList;
import java.util.List;

/** Messages made since the last {@link Ready}. */
final class Outbox {
    private final List<Message> messages = new ArrayList<>();

    void send(Message message) {
        messages.add(message);
    }

    boolean isEmpty() {
        return messages.isEmpty();
    }

    /** Takes those of one kind out, in their order. */
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
