package org.elmline.daemon.settings;

import java.util.function.Consumer;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A rule over several settings that a schema can't express. Works on JSON that has been completed with defaults, and
 * skips fields that are missing or of the wrong type, so that its problems can be reported together with those of the
 * schema.
 */
@FunctionalInterface
interface CrossFieldCheck {
    void check(ObjectNode settings, Consumer<SettingsProblem> problems);
}
