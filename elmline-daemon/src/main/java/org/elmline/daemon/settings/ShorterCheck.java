package org.elmline.daemon.settings;

import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** One time must be shorter than another; says what would happen otherwise. */
record ShorterCheck(String shorter, String longer, String otherwise) implements CombinationCheck {
    @Override
    public void check(ObjectNode settings, Consumer<Problem> problems) {
        JsonNode low = settings.at(shorter);
        JsonNode high = settings.at(longer);
        if (!low.isNumber() || !high.isNumber() || low.asLong() < high.asLong()) {
            return;
        }
        problems.accept(new Problem(
                shorter,
                low.asLong() + " must be less than " + longer + ", which is " + high.asLong() + ", " + otherwise));
    }
}
