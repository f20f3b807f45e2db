package org.elmline.daemon.settings;

import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Checks that one time is shorter than another; the problem states the consequence otherwise. */
record LessThanCheck(String smaller, String larger, String consequence) implements CrossFieldCheck {
    @Override
    public void check(ObjectNode settings, Consumer<SettingsProblem> problems) {
        JsonNode low = settings.at(smaller);
        JsonNode high = settings.at(larger);
        if (!low.isNumber() || !high.isNumber() || low.asLong() < high.asLong()) {
            return;
        }
        problems.accept(new SettingsProblem(
                smaller,
                low.asLong() + " must be less than " + larger + ", which is " + high.asLong() + ", " + consequence));
    }
}
