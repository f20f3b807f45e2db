package org.elmline.daemon.settings;

import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Checks that one value is not greater than another. */
record AtMostCheck(String value, String maximum) implements CrossFieldCheck {
    @Override
    public void check(ObjectNode settings, Consumer<SettingsProblem> problems) {
        JsonNode given = settings.at(value);
        JsonNode limit = settings.at(maximum);
        if (given.isNumber() && limit.isNumber() && given.asLong() > limit.asLong()) {
            problems.accept(new SettingsProblem(
                    value, given.asLong() + " must not be more than " + maximum + ", which is " + limit.asLong()));
        }
    }
}
