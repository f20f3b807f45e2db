package org.elmline.daemon.settings;

import java.util.function.Consumer;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * One rule over several settings that a schema can't state. Works on the completed JSON, and passes over fields that are
 * missing or of a wrong type, so that its problems come together with the schema's.
 */
@FunctionalInterface
interface CrossFieldCheck {
    void check(ObjectNode settings, Consumer<SettingsProblem> problems);
}
