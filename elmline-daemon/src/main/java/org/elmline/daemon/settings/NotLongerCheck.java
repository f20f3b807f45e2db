package org.elmline.daemon.settings;

import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** One value must not be greater than its bound. */
record NotLongerCheck(String value, String bound) implements CombinationCheck {
    @Override
    public void check(ObjectNode settings, Consumer<Problem> problems) {
        JsonNode given = settings.at(value);
        JsonNode most = settings.at(bound);
        if (given.isNumber() && most.isNumber() && given.asLong() > most.asLong()) {
            problems.accept(new Problem(
                    value, given.asLong() + " must not be more than " + bound + ", which is " + most.asLong()));
        }
    }
}
